package io.jacinthquay.decision.retry;

import io.jacinthquay.decision.count.SpanCounter;

/**
 * One router's share of a retry budget that all routers keep together.
 *
 * <p>The budget of a pool in any window is a ratio of the first sends plus a fixed extra. Each
 * router spends at most the ratio of its own first sends of the last half window plus an equal part
 * of the extra, so that the sum holds in every window without talking to each other.
 */
public final class SharedRetryBudget {
  private static final int CELLS = 20;

  /** Share of the budget that is used, so that windows that meet cells at their edges hold it. */
  private static final double USED_SHARE = 0.7;

  private final double ratio;
  private final double extra;
  private final SpanCounter firsts;
  private final SpanCounter repeats;

  /**
   * Returns a budget.
   *
   * @param ratio repeats per first send, 0 or more
   * @param extra repeats in a window beside, over all routers, 0 or more
   * @param windowNanos length of the window, 1 second or more
   */
  public SharedRetryBudget(double ratio, double extra, long windowNanos) {
    if (ratio < 0 || extra < 0 || windowNanos < 1_000_000_000L) {
      throw new IllegalArgumentException("a retry budget has a number out of range");
    }
    this.ratio = ratio;
    this.extra = extra;
    this.firsts = new SpanCounter(CELLS, windowNanos / CELLS);
    this.repeats = new SpanCounter(CELLS, windowNanos / CELLS);
  }

  /** Records the first send of a request. */
  public void sent(long now) {
    firsts.add(now);
  }

  /**
   * Takes one repeat if the budget holds it.
   *
   * @param routers routers that share the extra, 1 or more
   */
  public boolean tryTake(int routers, long now) {
    double budget = ratio * firsts.sum(now) + extra / Math.max(1, routers);
    if (repeats.sum(now) + 1 > USED_SHARE * budget) {
      return false;
    }
    repeats.add(now);
    return true;
  }
}
