package io.jacinthquay.decision.waiting;

/**
 * The time after which a rejected caller should retry.
 *
 * <p>Answers a herd of callers that are rejected together: they return spread over the time in
 * which the queue drains.
 */
final class RetryDelay {
  /** Shortest delay, in milliseconds; a view of the other routers is not newer than that. */
  private static final double MIN_MILLIS = 50;

  /** Callers honor a delay up to this share of the time that they have left. */
  private static final double MAX_SHARE = 1.0 / 3;

  /** Earliest retry as a share of the longest delay, where the expected wait exceeds it. */
  private static final double MIN_SPREAD_SHARE = 0.5;

  private RetryDelay() {}

  /**
   * Returns the delay in milliseconds.
   *
   * @param waitMillis expected time until a place is free
   * @param drainMillis time that the queue needs to drain
   * @param leftMillis time until the deadline of the caller
   * @param random uniform, 0 to 1
   */
  static double millis(double waitMillis, double drainMillis, double leftMillis, double random) {
    double cap = Math.max(0, leftMillis) * MAX_SHARE;
    double latest = Math.min(cap, waitMillis + Math.max(MIN_MILLIS, drainMillis));
    double earliest = Math.min(waitMillis, cap * MIN_SPREAD_SHARE);
    return Math.max(Math.min(MIN_MILLIS, cap), earliest + random * (latest - earliest));
  }
}
