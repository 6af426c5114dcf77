package io.jacinthquay.decision.placement;

import io.jacinthquay.model.DomainId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;

/**
 * The stable subset of the upstreams that one router sends to.
 *
 * <p>Upstreams are ranked by a hash of router and upstream, so that each router has its own subset,
 * and one that comes or goes moves a single place. A change costs time in the logarithm of all
 * upstreams; reading the candidates does not depend on their number.
 */
final class CandidateSubset {
  private static final Comparator<UpstreamState> BY_RANK =
      Comparator.comparingLong((UpstreamState u) -> u.subsetRank).thenComparing(u -> u.info.id());

  private final DomainId local;
  private final int localLimit;
  private final int limit;
  private final TreeSet<UpstreamState> locals = new TreeSet<>(BY_RANK);
  private final TreeSet<UpstreamState> remotes = new TreeSet<>(BY_RANK);
  private final UpstreamState[] slots;
  private final PrefixIndex index;

  CandidateSubset(DomainId local, PlacementSettings settings, PrefixIndex index) {
    this.local = local;
    this.localLimit = settings.localCandidates();
    this.limit = settings.localCandidates() + settings.remoteCandidates();
    this.slots = new UpstreamState[limit];
    this.index = index;
  }

  /** Returns the candidates by slot; free slots hold null. */
  UpstreamState[] slots() {
    return slots;
  }

  boolean isLocal(UpstreamState upstream) {
    return upstream.domain().equals(local);
  }

  void add(UpstreamState upstream) {
    side(upstream).add(upstream);
    assign();
  }

  void remove(UpstreamState upstream) {
    side(upstream).remove(upstream);
    assign();
  }

  private TreeSet<UpstreamState> side(UpstreamState upstream) {
    return isLocal(upstream) ? locals : remotes;
  }

  private void assign() {
    List<UpstreamState> wanted = wanted();
    for (int slot = 0; slot < limit; slot++) {
      UpstreamState held = slots[slot];
      if (held != null && !wanted.contains(held)) {
        held.slot = -1;
        slots[slot] = null;
        index.clear(slot);
      }
    }
    int next = 0;
    for (UpstreamState upstream : wanted) {
      if (upstream.slot < 0) {
        while (slots[next] != null) {
          next++;
        }
        upstream.slot = next;
        slots[next] = upstream;
      }
    }
  }

  private List<UpstreamState> wanted() {
    List<UpstreamState> wanted = new ArrayList<>(limit);
    take(locals.iterator(), localLimit, wanted);
    take(remotes.iterator(), limit - wanted.size(), wanted);
    return wanted;
  }

  private static void take(Iterator<UpstreamState> from, int count, List<UpstreamState> to) {
    for (int i = 0; i < count && from.hasNext(); i++) {
      to.add(from.next());
    }
  }
}
