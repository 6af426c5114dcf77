package io.jacinthquay.decision.bearing;

/**
 * Parameters that control how the limit of an upstream grows and shrinks.
 *
 * @param warmGrowth growth per on-target completion during slow start, in requests
 * @param steadyGrowth growth per limit's worth of on-target completions after slow start, in
 *     requests
 * @param cooldownNanos shortest time between two halvings, in nanoseconds
 * @param coldFactor ratio of recent to usual time to first token above which the upstream counts as
 *     cold
 * @param warmCompletions completions before which a jump of the time to first token is ignored
 */
public record ConcurrencyLimitOptions(
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
  public ConcurrencyLimitOptions {
    if (!(warmGrowth >= 0) || !(steadyGrowth >= 0) || cooldownNanos < 0) {
      throw new IllegalArgumentException("growth and cooldown must not be negative");
    }
    if (!(coldFactor > 1) || warmCompletions < 0) {
      throw new IllegalArgumentException(
          "coldFactor must be above 1 and warmCompletions must not be negative");
    }
  }

  /** Returns the default values. */
  public static ConcurrencyLimitOptions defaults() {
    return new ConcurrencyLimitOptions(1, 1, 500_000_000L, 4, 32);
  }
}
