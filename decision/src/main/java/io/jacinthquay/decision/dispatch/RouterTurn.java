package io.jacinthquay.decision.dispatch;

/**
 * This router's place in the order in which all routers take turns.
 *
 * @param position number of routers before this one, 0 or more
 * @param count number of routers, this one included
 * @param clockOffsetNanos what is added to this router's monotonic clock to get the time that all
 *     routers share, in nanoseconds
 */
public record RouterTurn(int position, int count, long clockOffsetNanos) {
  /** The turn of a router that has no others beside it. */
  public static final RouterTurn ALONE = new RouterTurn(0, 1, 0);

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if the position isn't within the count
   */
  public RouterTurn {
    if (position < 0 || position >= count) {
      throw new IllegalArgumentException(position + " is no position among " + count);
    }
  }

  /** Returns whether the order of the routers is the same as in another turn. */
  boolean isSameOrder(RouterTurn other) {
    return position == other.position && count == other.count;
  }
}
