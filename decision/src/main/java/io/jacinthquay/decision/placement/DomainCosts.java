package io.jacinthquay.decision.placement;

import io.jacinthquay.model.Tier;

/** The costs of sending to a failure domain that don't depend on the upstream. */
final class DomainCosts {
  /** Weight of a new wait in the moving mean, 0 to 1. */
  private static final double SAMPLE_WEIGHT = 0.2;

  /** Half-life of the mean wait while no new wait is observed, in nanoseconds. */
  private static final double HALF_LIFE_NANOS = 1e9;

  private final double[] waitNanos = new double[Tier.MAX + 1];
  private final long[] observedAt = new long[Tier.MAX + 1];
  double latencyNanos;

  void observeSlotWait(Tier tier, double nanos, long now) {
    int index = tier.value();
    double decayed = slotWaitNanos(tier, now);
    waitNanos[index] = decayed + SAMPLE_WEIGHT * (nanos - decayed);
    observedAt[index] = now;
  }

  double slotWaitNanos(Tier tier, long now) {
    int index = tier.value();
    if (waitNanos[index] == 0) {
      return 0;
    }
    double age = Math.max(0, now - observedAt[index]);
    return waitNanos[index] * Math.pow(0.5, age / HALF_LIFE_NANOS);
  }
}
