package io.jacinthquay.decision.placement;

/**
 * Ejects upstreams whose latency is far above the pool's or that keep failing, and lets them return
 * after probes.
 *
 * <p>An ejected upstream gets nothing for a while, then single probes. When enough probes answer at
 * ordinary speed it returns; otherwise it is ejected again for twice as long.
 */
final class OutlierDetector {
  /** First tokens without which an upstream is not judged. */
  private static final int MIN_SAMPLES = 5;

  /** Probes that must answer in time before an ejected upstream returns. */
  private static final int MIN_PROBES = 3;

  /** Failures in a row that eject an upstream. */
  private static final int MAX_FAILURES = 3;

  /** Doublings of the ejection time at most. */
  private static final int MAX_DOUBLINGS = 4;

  private final PlacementSettings settings;

  OutlierDetector(PlacementSettings settings) {
    this.settings = settings;
  }

  /** Judges all candidates by their latency. */
  void judge(UpstreamState[] candidates, long now) {
    int allowed = allowedEjections(candidates);
    for (UpstreamState u : candidates) {
      if (u == null) {
        continue;
      }
      if (u.ejected) {
        judgeProbes(u, now);
      } else if (allowed > 0 && isSlow(u)) {
        eject(u, now);
        allowed--;
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
    return u.samples >= MIN_SAMPLES && u.slowness > settings.ejectFactor();
  }

  private void judgeProbes(UpstreamState u, long now) {
    if (!u.isProbing(now) || u.samples < MIN_PROBES) {
      return;
    }
    if (u.slowness > settings.ejectFactor()) {
      eject(u, now);
    } else {
      restore(u, now);
    }
  }

  void failed(UpstreamState u, long now) {
    u.failuresInRow++;
    if (u.failuresInRow >= MAX_FAILURES || u.isProbing(now)) {
      eject(u, now);
      u.ejectedForFailure = true;
    }
  }

  /** A whole answer takes back an ejection for failures; one for latency needs its probes. */
  void succeeded(UpstreamState u, long now) {
    u.failuresInRow = 0;
    if (u.ejected && u.ejectedForFailure) {
      restore(u, now);
    }
  }

  private void eject(UpstreamState u, long now) {
    u.ejected = true;
    long length = settings.ejectionNanos() << Math.min(u.ejections, MAX_DOUBLINGS);
    u.ejectedUntil = now + length;
    u.ejections++;
    u.failuresInRow = 0;
    u.ejectedForFailure = false;
    u.forgetLatency(now);
  }

  private void restore(UpstreamState u, long now) {
    u.ejected = false;
    u.ejections = Math.max(0, u.ejections - 1);
    u.enteredAt = now;
  }
}
