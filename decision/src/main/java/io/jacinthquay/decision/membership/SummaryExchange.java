package io.jacinthquay.decision.membership;

import io.jacinthquay.decision.slots.RendezvousHash;
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

/** The summaries of other failure domains, and their exchange between relays. */
final class SummaryExchange {
  /** Number of relays of each failure domain. */
  static final int RELAYS = 2;

  /**
   * Age above which the relays named in a summary are replaced by candidates if there are any, in
   * milliseconds.
   */
  private static final long RELAYS_VALID_MILLIS = 5_000;

  /** Age above which a summary is removed, in milliseconds. */
  private static final long EXPIRY_MILLIS = 30_000;

  /**
   * Age of a failure domain's latest summary below which a new one is not broadcast, in
   * milliseconds.
   */
  private static final long FRESH_MILLIS = 1_500;

  private static final class ReceivedSummary {
    private final DomainSummary summary;
    private final long receivedAt;

    private ReceivedSummary(DomainSummary summary, long receivedAt) {
      this.summary = summary;
      this.receivedAt = receivedAt;
    }

    private long ageMillis(long now) {
      return summary.ageMillis() + (now - receivedAt) / GossipNode.NANOS_PER_MILLI;
    }

    private DomainSummary withAge(long now) {
      return summary.withAge(ageMillis(now));
    }
  }

  private final DomainId localDomain;
  private final TreeMap<VmId, ReceivedSummary> byOrigin = new TreeMap<>();
  private final TreeMap<DomainId, List<Relay>> candidates = new TreeMap<>();
  private long version;

  SummaryExchange(DomainId localDomain) {
    this.localDomain = localDomain;
  }

  /**
   * Replaces the candidates, whose VMs in other failure domains are contacted until a summary names
   * relays.
   */
  void setCandidates(Collection<Candidate> all) {
    candidates.clear();
    for (Candidate c : all) {
      if (!c.domain().equals(localDomain)) {
        candidates
            .computeIfAbsent(c.domain(), d -> new ArrayList<>())
            .add(new Relay(c.id(), c.address()));
      }
    }
  }

  /** Applies a summary, and returns whether to broadcast it. */
  boolean merge(DomainSummary summary, long now) {
    if (summary.domain().equals(localDomain)) {
      return false;
    }
    ReceivedSummary received = byOrigin.get(summary.origin());
    if (!summary.replaces(received == null ? null : received.summary)) {
      return false;
    }
    boolean fresh = latestAgeMillis(summary.domain(), now) < FRESH_MILLIS;
    byOrigin.put(summary.origin(), new ReceivedSummary(summary, now));
    return !fresh;
  }

  private long latestAgeMillis(DomainId domain, long now) {
    return byOrigin.values().stream()
        .filter(r -> r.summary.domain().equals(domain))
        .mapToLong(r -> r.ageMillis(now))
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /** Returns the summary of a relay with its current age, or null. */
  DomainSummary find(VmId origin, long now) {
    ReceivedSummary received = byOrigin.get(origin);
    return received == null ? null : received.withAge(now);
  }

  void expire(long now) {
    byOrigin.values().removeIf(r -> r.ageMillis(now) > EXPIRY_MILLIS);
  }

  /** Returns the latest summary of each other failure domain. */
  List<SummaryView> views(long now) {
    Map<DomainId, ReceivedSummary> latest = new TreeMap<>();
    for (ReceivedSummary received : byOrigin.values()) {
      latest.merge(
          received.summary.domain(),
          received,
          (a, b) -> a.ageMillis(now) <= b.ageMillis(now) ? a : b);
    }
    return latest.values().stream()
        .map(r -> new SummaryView(r.withAge(now), r.ageMillis(now)))
        .toList();
  }

  /** Returns the relays among the live members of the local failure domain. */
  List<Relay> relays(List<Member> liveMembers) {
    long key = RendezvousHash.hash(localDomain.value());
    return liveMembers.stream()
        .sorted(
            Comparator.comparingLong(
                m -> RendezvousHash.mix(key ^ RendezvousHash.hash(m.id().value()))))
        .limit(RELAYS)
        .map(m -> new Relay(m.id(), m.address()))
        .toList();
  }

  /** Returns the messages of this relay to one relay of each other failure domain. */
  List<OutgoingMessage> messages(
      Member self,
      int live,
      MemberLoad load,
      List<Relay> relays,
      long now,
      SplittableRandom random) {
    version++;
    DomainSummary ownSummary =
        new DomainSummary(
            localDomain, self.id(), self.incarnation(), version, 0, live, load, relays);
    List<SummaryView> views = views(now);
    List<OutgoingMessage> messages = new ArrayList<>();
    for (Map.Entry<DomainId, List<Relay>> target : targets(views).entrySet()) {
      List<Relay> targetRelays = target.getValue();
      Relay to = targetRelays.get(random.nextInt(targetRelays.size()));
      List<DomainSummary> summaries = new ArrayList<>(List.of(ownSummary));
      thirdDomain(views, target.getKey(), random).ifPresent(summaries::add);
      GossipPayload payload = new GossipPayload(List.of(), List.of(), summaries);
      GossipMessage message = new GossipMessage.Summaries(self.id(), payload);
      messages.add(new OutgoingMessage(to.id(), to.address(), message));
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
