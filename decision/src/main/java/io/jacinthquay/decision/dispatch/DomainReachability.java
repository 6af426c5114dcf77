package io.jacinthquay.decision.dispatch;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UpstreamId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks which failure domains this router can't reach.
 *
 * <p>In a network partition, each upstream of a domain would otherwise cost a connect timeout, and
 * a request that tries several of them fails while upstreams elsewhere are free. Not thread-safe.
 */
final class DomainReachability {
  /**
   * Upstreams found unreachable, with no activity in the domain in between, after which the domain
   * counts as unreachable.
   */
  private static final int MIN_UNREACHABLE_UPSTREAMS = 2;

  /** Time between two probes of an unreachable domain, in nanoseconds; a few connect timeouts. */
  private static final long PROBE_INTERVAL_NANOS = 1_000_000_000L;

  private static final class Outage {
    private final Set<UpstreamId> unreachable = new HashSet<>();
    private long avoidedUntil;
  }

  private final Map<DomainId, Outage> outages = new HashMap<>();

  /** Records that data arrived from an upstream of the domain. */
  void recordActivity(DomainId domain) {
    outages.remove(domain);
  }

  /** Records that an upstream of the domain could not be reached. */
  void recordUnreachable(DomainId domain, UpstreamId upstream, long now) {
    Outage outage = outages.computeIfAbsent(domain, id -> new Outage());
    outage.unreachable.add(upstream);
    outage.avoidedUntil = now + PROBE_INTERVAL_NANOS;
  }

  /** Records that a request is sent to the domain; others wait for its result. */
  void recordSend(DomainId domain, long now) {
    Outage outage = outages.get(domain);
    if (outage != null) {
      outage.avoidedUntil = now + PROBE_INTERVAL_NANOS;
    }
  }

  /** Returns whether several upstreams of a domain are unreachable and none has answered since. */
  boolean isUnreachable(DomainId domain) {
    Outage outage = outages.get(domain);
    return outage != null && outage.unreachable.size() >= MIN_UNREACHABLE_UPSTREAMS;
  }

  /** Returns whether a domain is unreachable and not yet due for a probe. */
  boolean isAvoided(DomainId domain, long now) {
    return isUnreachable(domain) && now - outages.get(domain).avoidedUntil < 0;
  }
}
