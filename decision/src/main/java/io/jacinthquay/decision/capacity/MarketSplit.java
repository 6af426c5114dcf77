package io.jacinthquay.decision.capacity;

/**
 * How many upstreams of each kind a pool needs, and why.
 *
 * @param regular regular upstreams, 0 or more
 * @param cheap cheap upstreams, 0 or more
 * @param limitedBy what kept the number from being as demand alone asks
 */
public record MarketSplit(int regular, int cheap, Limit limitedBy) {
  /** What bounds the number of upstreams. */
  public enum Limit {
    /** Demand alone. */
    DEMAND,
    /** The pool's fewest upstreams. */
    MIN_UPSTREAMS,
    /** The pool's most upstreams. */
    MAX_UPSTREAMS,
    /** The pool's cost limit. */
    COST_LIMIT,
    /** No failure domain may get upstreams. */
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

  /** Returns the number of upstreams of both kinds. */
  public int total() {
    return regular + cheap;
  }
}
