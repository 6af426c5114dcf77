package io.jacinthquay.decision.bearing;

/**
 * How the limit of an upstream grows and shrinks.
 *
 * @param warmGrowth how much an on-target completion adds while warming, in requests
 * @param steadyGrowth how much a full round of on-target completions adds afterwards, in requests
 * @param cooldownNanos shortest time between two halvings
 * @param coldFactor ratio of recent to usual time to first token that counts as turned cold
 * @param warmCompletions on-target completions after which an upstream counts as warm
 */
public record BearingOptions(
    double warmGrowth,
    double steadyGrowth,
    long cooldownNanos,
    double coldFactor,
    int warmCompletions) {
  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a value is out of range
   */
  public BearingOptions {
    if (!(warmGrowth >= 0) || !(steadyGrowth >= 0) || cooldownNanos < 0) {
      throw new IllegalArgumentException("growth and cooldown must not be negative");
    }
    if (!(coldFactor > 1) || warmCompletions < 0) {
      throw new IllegalArgumentException("coldFactor must be above 1");
    }
  }

  /** Returns the usual values. */
  public static BearingOptions defaults() {
    return new BearingOptions(1, 1, 500_000_000L, 4, 32);
  }
}
