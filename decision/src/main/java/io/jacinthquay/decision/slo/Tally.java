package io.jacinthquay.decision.slo;

/**
 * The number of requests that met their targets and of those that did not.
 *
 * @param attained number of requests that met their targets, 0 or more
 * @param missed number of requests that did not, 0 or more
 */
public record Tally(long attained, long missed) {
  /** No requests. */
  public static final Tally NONE = new Tally(0, 0);

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a count is negative
   */
  public Tally {
    if (attained < 0 || missed < 0) {
      throw new IllegalArgumentException("counts must not be negative");
    }
  }

  /** Returns the sum of this tally and another. */
  public Tally plus(Tally other) {
    return new Tally(attained + other.attained, missed + other.missed);
  }

  /** Returns the number of requests. */
  public long total() {
    return attained + missed;
  }

  /** Returns the share of requests that met their targets, 0 to 1; 1 if there were no requests. */
  public double attainment() {
    return total() == 0 ? 1 : (double) attained / total();
  }
}
