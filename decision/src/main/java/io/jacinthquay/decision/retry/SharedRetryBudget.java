package io.jacinthquay.decision.retry;

import io.jacinthquay.decision.count.SlidingWindowCounter;

/**
 * One router's share of a retry budget that applies to all routers together.
 *
 * <p>In any window, the budget of a pool is a ratio of the first sends plus a fixed extra. Each
 * router spends at most the ratio of its own first sends in the last window plus its part of the
 * extra, so that the sum stays within the budget without communication.
 *
 * <p>This answers callers that move between routers, as they do when routers end: some routers may
 * just have spent the budget of requests that others get now. So a router uses little of the ratio
 * for first sends beyond those that it had in the window before and in the one half a window
 * earlier. The same holds for a process that is younger than a window and can't know what its
 * previous run spent; it also uses nothing of the extra.
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

  /** Share of the ratio that is used for first sends that may have moved from another router. */
  private static final double NEW_SHARE = 0.2;

  private final double ratio;
  private final double extra;
  private final SlidingWindowCounter firstSends;
  private final SlidingWindowCounter retries;
  private final long windowNanos;
  private final long startedAt;

  /**
   * Returns a budget.
   *
   * @param ratio retries per first send, 0 or more
   * @param extra additional retries per window over all routers, 0 or more
   * @param windowNanos length of the window, in nanoseconds, 1 second or more
   * @param startedAt when the router started, on its monotonic clock, in nanoseconds
   * @throws IllegalArgumentException if a number is out of range
   */
  public SharedRetryBudget(double ratio, double extra, long windowNanos, long startedAt) {
    if (ratio < 0 || extra < 0 || windowNanos < 1_000_000_000L) {
      throw new IllegalArgumentException(
          "ratio and extra must not be negative and the window must be 1 s or longer");
    }
    this.ratio = ratio;
    this.extra = extra;
    this.windowNanos = windowNanos;
    this.startedAt = startedAt;
    this.firstSends = new SlidingWindowCounter(2 * STEPS, windowNanos / STEPS_PER_WINDOW);
    this.retries = new SlidingWindowCounter(STEPS, windowNanos / STEPS_PER_WINDOW);
  }

  /** Records the first send of a request. */
  public void sent(long now) {
    firstSends.add(now);
  }

  /**
   * Takes one retry if the budget allows it.
   *
   * @param extraShare this router's part of the extra, 0 to 1
   */
  public boolean tryTake(double extraShare, long now) {
    if (left(extraShare, now) < 1) {
      return false;
    }
    retries.add(now);
    return true;
  }

  /**
   * Returns how many retries the budget allows now; less than 0 if more were spent than it would
   * allow now.
   *
   * @param extraShare this router's part of the extra, 0 to 1
   */
  public double left(double extraShare, long now) {
    long recent = firstSends.sum(now, 0, STEPS);
    long settled = Math.min(recent, earlierFirstSends(now));
    double ownPart = ratio * (USED_SHARE * settled + NEW_SHARE * (recent - settled));
    double extraPart = now - startedAt < windowNanos ? 0 : USED_SHARE * extra * extraShare;
    return ownPart + extraPart - retries.sum(now);
  }

  /** Returns the fewest first sends of the window before and of the one half a window earlier. */
  private long earlierFirstSends(long now) {
    return Math.min(
        firstSends.sum(now, STEPS, STEPS), firstSends.sum(now, STEPS_PER_WINDOW / 2, STEPS));
  }
}
