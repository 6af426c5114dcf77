package io.jacinthquay.decision.placement;

import io.jacinthquay.model.Tier;

/** What it costs to send to a failure domain, whichever of its upstreams serves. */
final class DomainCosts {
  /** Share of a new wait in the moving mean. */
  private static final double SAMPLE_WEIGHT = 0.2;

  /** Half-life of a wait that is not observed again, in nanoseconds. */
  private static final double HALF_LIFE_NANOS = 1e9;

  private final double[] waitNanos = new double[Tier.MAX + 1];
  private final long[] observedAt = new long[Tier.MAX + 1];
  double latencyNanos;

  void observeSlotWait(Tier tier, double nanos, long now) {
    int index = tier.value();
    double faded = slotWaitNanos(tier, now);
    waitNanos[index] = faded + SAMPLE_WEIGHT * (nanos - faded);
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
