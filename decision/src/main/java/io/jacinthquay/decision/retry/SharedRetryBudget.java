package io.jacinthquay.decision.retry;

import io.jacinthquay.decision.count.SlidingWindowCounter;

/**
 * One router's share of a retry budget that applies to all routers together.
 *
 * <p>In any window, the budget of a pool is a ratio of the first sends plus a fixed extra. Each
 * router spends at most the ratio of its own first sends in the last window plus an equal part of
 * the extra, so that the sum stays within the budget in every window without communication, also
 * across restarts.
 */
public final class SharedRetryBudget {
  private static final int STEPS_PER_WINDOW = 20;

  /**
   * One step more than a window, for the step that is being filled, so that at least a whole window
   * is counted.
   */
  private static final int STEPS = STEPS_PER_WINDOW + 1;

  /**
   * Share of the budget that is used; leaves a margin for windows that don't align with the steps.
   */
  private static final double USED_SHARE = 0.7;

  /**
   * Share of the budget that is used in the first window after a start, since the previous run may
   * just have spent its own.
   */
  private static final double START_SHARE = 0.2;

  private final double ratio;
  private final double extra;
  private final SlidingWindowCounter firstSends;
  private final SlidingWindowCounter retries;
  private final long windowNanos;
  private long startedAt;
  private boolean started;

  /**
   * Returns a budget.
   *
   * @param ratio retries per first send, 0 or more
   * @param extra additional retries per window over all routers, 0 or more
   * @param windowNanos length of the window, in nanoseconds, 1 second or more
   * @throws IllegalArgumentException if a number is out of range
   */
  public SharedRetryBudget(double ratio, double extra, long windowNanos) {
    if (ratio < 0 || extra < 0 || windowNanos < 1_000_000_000L) {
      throw new IllegalArgumentException(
          "ratio and extra must not be negative and the window must be 1 s or longer");
    }
    this.ratio = ratio;
    this.extra = extra;
    this.windowNanos = windowNanos;
    this.firstSends = new SlidingWindowCounter(STEPS, windowNanos / STEPS_PER_WINDOW);
    this.retries = new SlidingWindowCounter(STEPS, windowNanos / STEPS_PER_WINDOW);
  }

  /** Records the first send of a request. */
  public void sent(long now) {
    if (!started) {
      started = true;
      startedAt = now;
    }
    firstSends.add(now);
  }

  /**
   * Takes one retry if the budget allows it.
   *
   * @param routers number of routers that share the extra, 1 or more
   */
  public boolean tryTake(int routers, long now) {
    boolean inFirstWindow = !started || now - startedAt < windowNanos;
    double budget = ratio * firstSends.sum(now) + extra / Math.max(1, routers);
    if (retries.sum(now) + 1 > (inFirstWindow ? START_SHARE : USED_SHARE) * budget) {
      return false;
    }
    retries.add(now);
    return true;
  }
}
