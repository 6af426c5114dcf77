package io.jacinthquay.decision.placement;

import io.jacinthquay.model.DomainId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;

/**
 * The stable subset of the upstreams to which one router sends requests.
 *
 * <p>Upstreams are ranked by a hash of router and upstream, so that each router has its own subset
 * and adding or removing an upstream replaces at most one candidate. A change takes time
 * logarithmic in the number of upstreams; reading the candidates takes time independent of it.
 */
final class CandidateSubset {
  private static final Comparator<UpstreamState> BY_RANK =
      Comparator.comparingLong((UpstreamState u) -> u.subsetRank).thenComparing(u -> u.info.id());

  private final DomainId local;
  private final int localLimit;
  private final int limit;
  private final TreeSet<UpstreamState> localUpstreams = new TreeSet<>(BY_RANK);
  private final TreeSet<UpstreamState> remoteUpstreams = new TreeSet<>(BY_RANK);
  private final UpstreamState[] slots;
  private final PrefixIndex index;

  CandidateSubset(DomainId local, PlacementSettings settings, PrefixIndex index) {
    this.local = local;
    this.localLimit = settings.localCandidates();
    this.limit = settings.localCandidates() + settings.remoteCandidates();
    this.slots = new UpstreamState[limit];
    this.index = index;
  }

  /** Returns the candidates by slot; an empty slot is null. */
  UpstreamState[] slots() {
    return slots;
  }

  boolean isLocal(UpstreamState upstream) {
    return upstream.domain().equals(local);
  }

  void add(UpstreamState upstream) {
    ranking(upstream).add(upstream);
    assign();
  }

  void remove(UpstreamState upstream) {
    ranking(upstream).remove(upstream);
    assign();
  }

  private TreeSet<UpstreamState> ranking(UpstreamState upstream) {
    return isLocal(upstream) ? localUpstreams : remoteUpstreams;
  }

  private void assign() {
    List<UpstreamState> selected = selected();
    for (int slot = 0; slot < limit; slot++) {
      UpstreamState current = slots[slot];
      if (current != null && !selected.contains(current)) {
        current.slot = -1;
        slots[slot] = null;
        index.clear(slot);
      }
    }
    int nextSlot = 0;
    for (UpstreamState upstream : selected) {
      if (upstream.slot < 0) {
        while (slots[nextSlot] != null) {
          nextSlot++;
        }
        upstream.slot = nextSlot;
        slots[nextSlot] = upstream;
      }
    }
  }

  private List<UpstreamState> selected() {
    List<UpstreamState> selected = new ArrayList<>(limit);
    addFirst(localUpstreams.iterator(), localLimit, selected);
    addFirst(remoteUpstreams.iterator(), limit - selected.size(), selected);
    return selected;
  }

  private static void addFirst(
      Iterator<UpstreamState> source, int count, List<UpstreamState> target) {
    for (int i = 0; i < count && source.hasNext(); i++) {
      target.add(source.next());
    }
  }
}
