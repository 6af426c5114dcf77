package io.jacinthquay.decision.capacity;

/**
 * The demand on a pool: the number of requests that run or wait at one instant.
 *
 * @param highest requests of the highest tier in use, 0 or more
 * @param topTwo requests of the two highest tiers in use, at least {@code highest}
 * @param all requests of all tiers, at least {@code topTwo}
 */
public record Demand(double highest, double topTwo, double all) {
  /** No demand. */
  public static final Demand NONE = new Demand(0, 0, 0);

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if {@code 0 <= highest <= topTwo <= all} does not hold
   */
  public Demand {
    if (!(highest >= 0 && highest <= topTwo && topTwo <= all)) {
      throw new IllegalArgumentException("demand must satisfy 0 <= highest <= topTwo <= all");
    }
  }
}
