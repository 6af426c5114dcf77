package io.jacinthquay.decision.capacity;

/**
 * The options by which the planner balances service level against cost.
 *
 * @param utilisation planned share of an upstream's concurrency limit that demand uses, above 0 and
 *     up to 1
 * @param degradedUtilisation the same right after cheap upstreams were lost, from {@code
 *     utilisation} to 1
 * @param holdSteps number of sample intervals for which there must be a surplus before an upstream
 *     is drained, 1 or more
 * @param surplusTolerance surplus that is kept running, as a share of the planned upstreams, 0 or
 *     more
 */
public record CapacityOptions(
    double utilisation, double degradedUtilisation, int holdSteps, double surplusTolerance) {
  /** The default options. */
  public static final CapacityOptions DEFAULT = new CapacityOptions(0.75, 0.95, 18, 0.05);

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a value is out of range
   */
  public CapacityOptions {
    if (!(utilisation > 0 && utilisation <= degradedUtilisation && degradedUtilisation <= 1)) {
      throw new IllegalArgumentException(
          "options must satisfy 0 < utilisation <= degradedUtilisation <= 1");
    }
    if (holdSteps < 1 || !(surplusTolerance >= 0)) {
      throw new IllegalArgumentException(
          "holdSteps must be 1 or more and surplusTolerance 0 or more");
    }
  }
}
