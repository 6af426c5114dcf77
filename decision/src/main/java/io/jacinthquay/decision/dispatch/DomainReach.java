package io.jacinthquay.decision.dispatch;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UpstreamId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Remembers which failure domains this router can't reach.
 *
 * <p>Answers the load of a domain that is cut off: each of its upstreams would have to be found
 * unreachable on its own, at a connect timeout each, and a request that meets several of them is
 * given up while upstreams elsewhere are free. Not thread-safe.
 */
final class DomainReach {
  /** Upstreams of a domain that can't be reached, with nothing heard of it between them. */
  private static final int UPSTREAMS = 2;

  /** Time between two sends that try a domain again, in nanoseconds: a few connect timeouts. */
  private static final long TRIAL_NANOS = 1_000_000_000L;

  private static final class Silence {
    private final Set<UpstreamId> unreached = new HashSet<>();
    private long avoidedUntil;
  }

  private final Map<DomainId, Silence> silences = new HashMap<>();

  /** Something arrived from an upstream of the domain. */
  void heard(DomainId domain) {
    silences.remove(domain);
  }

  /** An upstream of the domain could not be reached. */
  void unreachable(DomainId domain, UpstreamId upstream, long now) {
    Silence silence = silences.computeIfAbsent(domain, name -> new Silence());
    silence.unreached.add(upstream);
    silence.avoidedUntil = now + TRIAL_NANOS;
  }

  /** A request is sent there; until it is answered, others are not. */
  void sent(DomainId domain, long now) {
    Silence silence = silences.get(domain);
    if (silence != null) {
      silence.avoidedUntil = now + TRIAL_NANOS;
    }
  }

  /**
   * Returns whether nothing was heard of a domain since several of its upstreams were out of reach.
   */
  boolean isSilent(DomainId domain) {
    Silence silence = silences.get(domain);
    return silence != null && silence.unreached.size() >= UPSTREAMS;
  }

  /** Returns whether upstreams of other domains are to be preferred by far. */
  boolean isCut(DomainId domain, long now) {
    return isSilent(domain) && now - silences.get(domain).avoidedUntil < 0;
  }
}
