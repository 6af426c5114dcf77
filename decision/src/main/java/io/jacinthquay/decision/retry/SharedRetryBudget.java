package io.jacinthquay.decision.retry;

import io.jacinthquay.decision.count.SpanCounter;

/**
 * One router's share of a retry budget that all routers keep together.
 *
 * <p>The budget of a pool in any window is a ratio of the first sends plus a fixed extra. Each
 * router spends at most the ratio of its own first sends of the last half window plus an equal part
 * of the extra, so that the sum holds in every window without talking to each other, also over
 * restarts.
 */
public final class SharedRetryBudget {
  private static final int CELLS_OF_WINDOW = 20;

  /** The cell that is being filled comes beside, so that a whole window is always looked at. */
  private static final int CELLS = CELLS_OF_WINDOW + 1;

  /** Share of the budget that is used, so that windows that meet cells at their edges hold it. */
  private static final double USED_SHARE = 0.7;

  /**
   * Share of the budget in the first window of a router: the run before it may have spent its own a
   * moment ago.
   */
  private static final double START_SHARE = 0.2;

  private final double ratio;
  private final double extra;
  private final SpanCounter firsts;
  private final SpanCounter repeats;
  private final long windowNanos;
  private long startedAt;
  private boolean started;

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
    this.windowNanos = windowNanos;
    this.firsts = new SpanCounter(CELLS, windowNanos / CELLS_OF_WINDOW);
    this.repeats = new SpanCounter(CELLS, windowNanos / CELLS_OF_WINDOW);
  }

  /** Records the first send of a request. */
  public void sent(long now) {
    if (!started) {
      started = true;
      startedAt = now;
    }
    firsts.add(now);
  }

  /**
   * Takes one repeat if the budget holds it.
   *
   * @param routers routers that share the extra, 1 or more
   */
  public boolean tryTake(int routers, long now) {
    boolean fresh = !started || now - startedAt < windowNanos;
    double budget = ratio * firsts.sum(now) + extra / Math.max(1, routers);
    if (repeats.sum(now) + 1 > (fresh ? START_SHARE : USED_SHARE) * budget) {
      return false;
    }
    repeats.add(now);
    return true;
  }
}
