package io.jacinthquay.decision.placement;

/**
 * Ejects upstreams whose latency is far above that of the pool or that fail repeatedly, and
 * restores them after successful probes.
 *
 * <p>An ejected upstream receives no requests for the ejection time, then one probe at a time. It
 * is restored when enough probes are answered at typical speed; otherwise it is ejected again for
 * twice as long.
 */
final class OutlierDetector {
  /** Number of first-token samples required before the latency of an upstream is evaluated. */
  private static final int MIN_SAMPLES = 5;

  /** Number of probes that must be answered in time before an ejected upstream is restored. */
  private static final int MIN_PROBES = 3;

  /** Number of consecutive failures that eject an upstream. */
  private static final int MAX_CONSECUTIVE_FAILURES = 3;

  /** Maximum number of doublings of the ejection time. */
  private static final int MAX_DOUBLINGS = 4;

  private final PlacementSettings settings;

  OutlierDetector(PlacementSettings settings) {
    this.settings = settings;
  }

  /** Ejects slow candidates and restores ejected ones whose probes were fast enough. */
  void evaluate(UpstreamState[] candidates, long now) {
    int remaining = allowedEjections(candidates);
    for (UpstreamState u : candidates) {
      if (u == null) {
        continue;
      }
      if (u.ejected) {
        evaluateProbes(u, now);
      } else if (remaining > 0 && isSlow(u)) {
        eject(u, now);
        remaining--;
      }
    }
  }

  private int allowedEjections(UpstreamState[] candidates) {
    int count = 0;
    int ejected = 0;
    for (UpstreamState u : candidates) {
      if (u != null) {
        count++;
        ejected += u.ejected ? 1 : 0;
      }
    }
    return (int) (count * settings.maxEjectedShare()) - ejected;
  }

  private boolean isSlow(UpstreamState u) {
    return u.latencySamples >= MIN_SAMPLES && u.slowness > settings.ejectFactor();
  }

  private void evaluateProbes(UpstreamState u, long now) {
    if (!u.isProbing(now) || u.latencySamples < MIN_PROBES) {
      return;
    }
    if (u.slowness > settings.ejectFactor()) {
      eject(u, now);
    } else {
      restore(u, now);
    }
  }

  void recordFailure(UpstreamState u, long now) {
    u.consecutiveFailures++;
    if (u.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES || u.isProbing(now)) {
      eject(u, now);
      u.ejectedForFailure = true;
    }
  }

  /**
   * Records a complete answer. It restores an upstream ejected for failures; one ejected for
   * latency still needs its probes.
   */
  void recordSuccess(UpstreamState u, long now) {
    u.consecutiveFailures = 0;
    if (u.ejected && u.ejectedForFailure) {
      restore(u, now);
    }
  }

  private void eject(UpstreamState u, long now) {
    u.ejected = true;
    long ejectionNanos = settings.ejectionNanos() << Math.min(u.ejections, MAX_DOUBLINGS);
    u.ejectedUntil = now + ejectionNanos;
    u.ejections++;
    u.consecutiveFailures = 0;
    u.ejectedForFailure = false;
    u.resetLatency(now);
  }

  private void restore(UpstreamState u, long now) {
    u.ejected = false;
    u.ejections = Math.max(0, u.ejections - 1);
    u.enteredAt = now;
  }
}
