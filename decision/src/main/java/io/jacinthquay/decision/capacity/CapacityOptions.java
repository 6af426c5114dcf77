package io.jacinthquay.decision.capacity;

/**
 * How the planner weighs service against cost.
 *
 * @param utilisation share of an upstream's limit that demand may fill, above 0 and up to 1
 * @param strainedUtilisation the same while cheap upstreams have just vanished, at least {@code
 *     utilisation}
 * @param holdSteps sample intervals for which an upstream must be surplus before it is drained, 1
 *     or more
 * @param surplusSlack share of the wanted upstreams that may be surplus without a stop, 0 or more
 */
public record CapacityOptions(
    double utilisation, double strainedUtilisation, int holdSteps, double surplusSlack) {
  /** The options in use where nothing else is set. */
  public static final CapacityOptions DEFAULT = new CapacityOptions(0.75, 0.95, 18, 0.05);

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a value is out of range
   */
  public CapacityOptions {
    if (!(utilisation > 0 && utilisation <= strainedUtilisation && strainedUtilisation <= 1)) {
      throw new IllegalArgumentException("0 < utilisation <= strainedUtilisation <= 1 is needed");
    }
    if (holdSteps < 1 || !(surplusSlack >= 0)) {
      throw new IllegalArgumentException("holdSteps and surplusSlack must not be negative");
    }
  }
}
