package io.jacinthquay.decision.capacity;

/**
 * The planned number of upstreams of a pool on each market, and what determined it.
 *
 * @param regular number of regular upstreams, 0 or more
 * @param cheap number of cheap upstreams, 0 or more
 * @param limitedBy what determined the total number
 */
public record MarketSplit(int regular, int cheap, Limit limitedBy) {
  /** What determines the number of upstreams. */
  public enum Limit {
    /** The demand alone. */
    DEMAND,
    /** The pool's minimum number of upstreams. */
    MIN_UPSTREAMS,
    /** The pool's maximum number of upstreams. */
    MAX_UPSTREAMS,
    /** The pool's cost limit. */
    COST_LIMIT,
    /** There is no failure domain in which upstreams may run. */
    NO_DOMAIN
  }

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a count is negative
   */
  public MarketSplit {
    if (regular < 0 || cheap < 0) {
      throw new IllegalArgumentException("counts must not be negative");
    }
  }

  /** Returns the number of upstreams on both markets. */
  public int total() {
    return regular + cheap;
  }
}
