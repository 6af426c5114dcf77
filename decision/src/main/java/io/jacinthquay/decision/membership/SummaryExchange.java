package io.jacinthquay.decision.membership;

import io.jacinthquay.decision.slots.Rendezvous;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.VmId;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;

/** What a member knows of other failure domains and how a relay passes it on. */
final class SummaryExchange {
  /** Relays of each failure domain. */
  static final int RELAYS = 2;

  /** Age above which the relays named in a summary are no longer relied on, in milliseconds. */
  private static final long RELAYS_VALID_MILLIS = 5_000;

  /** Age above which a summary is dropped, in milliseconds. */
  private static final long EXPIRY_MILLIS = 30_000;

  /** Age below which a failure domain's summary is not replaced in gossip, in milliseconds. */
  private static final long FRESH_MILLIS = 1_500;

  private static final class Held {
    private final DomainSummary summary;
    private final long heardAt;

    private Held(DomainSummary summary, long heardAt) {
      this.summary = summary;
      this.heardAt = heardAt;
    }

    private long ageMillis(long now) {
      return summary.ageMillis() + (now - heardAt) / GossipNode.MILLISECOND;
    }

    private DomainSummary aged(long now) {
      return summary.aged(ageMillis(now));
    }
  }

  private final DomainId own;
  private final TreeMap<VmId, Held> byOrigin = new TreeMap<>();
  private final TreeMap<DomainId, List<Relay>> candidates = new TreeMap<>();
  private long version;

  SummaryExchange(DomainId own) {
    this.own = own;
  }

  /** Replaces the VMs of other failure domains that may be reached before any summary came. */
  void candidates(Collection<Candidate> all) {
    candidates.clear();
    for (Candidate c : all) {
      if (!c.domain().equals(own)) {
        candidates
            .computeIfAbsent(c.domain(), d -> new ArrayList<>())
            .add(new Relay(c.id(), c.address()));
      }
    }
  }

  /** Takes a summary in. Returns whether it is worth passing on. */
  boolean merge(DomainSummary summary, long now) {
    if (summary.domain().equals(own)) {
      return false;
    }
    Held held = byOrigin.get(summary.origin());
    if (!summary.replaces(held == null ? null : held.summary)) {
      return false;
    }
    boolean fresh = youngestMillis(summary.domain(), now) < FRESH_MILLIS;
    byOrigin.put(summary.origin(), new Held(summary, now));
    return !fresh;
  }

  private long youngestMillis(DomainId domain, long now) {
    return byOrigin.values().stream()
        .filter(h -> h.summary.domain().equals(domain))
        .mapToLong(h -> h.ageMillis(now))
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /** Returns a summary with its present age, or null. */
  DomainSummary find(VmId origin, long now) {
    Held held = byOrigin.get(origin);
    return held == null ? null : held.aged(now);
  }

  void expire(long now) {
    byOrigin.values().removeIf(h -> h.ageMillis(now) > EXPIRY_MILLIS);
  }

  /** Returns the youngest summary of each other failure domain. */
  List<SummaryView> views(long now) {
    Map<DomainId, Held> youngest = new TreeMap<>();
    for (Held held : byOrigin.values()) {
      youngest.merge(
          held.summary.domain(), held, (a, b) -> a.ageMillis(now) <= b.ageMillis(now) ? a : b);
    }
    return youngest.values().stream()
        .map(h -> new SummaryView(h.aged(now), h.ageMillis(now)))
        .toList();
  }

  /** Returns the relays among the living members of the own failure domain. */
  List<Relay> relays(List<Member> living) {
    long key = Rendezvous.hash(own.value());
    return living.stream()
        .sorted(
            Comparator.comparingLong(m -> Rendezvous.mix(key ^ Rendezvous.hash(m.id().value()))))
        .limit(RELAYS)
        .map(m -> new Relay(m.id(), m.address()))
        .toList();
  }

  /** Returns the messages of a relay to one relay of each other failure domain. */
  List<Outgoing> messages(
      Member self,
      int live,
      MemberLoad load,
      List<Relay> relays,
      long now,
      SplittableRandom random) {
    version++;
    DomainSummary ownSummary =
        new DomainSummary(own, self.id(), self.incarnation(), version, 0, live, load, relays);
    List<SummaryView> views = views(now);
    List<Outgoing> messages = new ArrayList<>();
    for (Map.Entry<DomainId, List<Relay>> target : targets(views).entrySet()) {
      List<Relay> choices = target.getValue();
      Relay to = choices.get(random.nextInt(choices.size()));
      List<DomainSummary> news = new ArrayList<>(List.of(ownSummary));
      thirdDomain(views, target.getKey(), random).ifPresent(news::add);
      GossipPayload payload = new GossipPayload(List.of(), List.of(), news);
      GossipMessage message = new GossipMessage.Summaries(self.id(), payload);
      messages.add(new Outgoing(to.id(), to.address(), message));
    }
    return messages;
  }

  private Map<DomainId, List<Relay>> targets(List<SummaryView> views) {
    Map<DomainId, List<Relay>> targets = new TreeMap<>(candidates);
    for (SummaryView view : views) {
      boolean valid = view.ageMillis() <= RELAYS_VALID_MILLIS;
      DomainId domain = view.summary().domain();
      if (!view.summary().relays().isEmpty() && (valid || !targets.containsKey(domain))) {
        targets.put(domain, view.summary().relays());
      }
    }
    return targets;
  }

  private static Optional<DomainSummary> thirdDomain(
      List<SummaryView> views, DomainId target, SplittableRandom random) {
    List<SummaryView> others =
        views.stream().filter(v -> !v.summary().domain().equals(target)).toList();
    if (others.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(others.get(random.nextInt(others.size())).summary());
  }
}
