package io.jacinthquay.decision.capacity;

/**
 * The work offered to a pool, in requests that run or wait at one instant.
 *
 * @param top requests of the two highest tiers in use
 * @param highest requests of the highest tier in use, a part of {@code top}
 * @param all requests of all tiers
 */
public record Demand(double highest, double top, double all) {
  /** No work. */
  public static final Demand NONE = new Demand(0, 0, 0);

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if the parts are negative or do not nest
   */
  public Demand {
    if (!(highest >= 0 && highest <= top && top <= all)) {
      throw new IllegalArgumentException("demand must satisfy 0 <= highest <= top <= all");
    }
  }
}
