package io.jacinthquay.decision.dispatch;

/**
 * Token bucket for this router's share of the request rate of a cold upstream.
 *
 * <p>Each router keeps to an equal share of the bound in every second, so that all routers together
 * stay within it even while they can't communicate.
 */
final class ColdRateLimiter {
  private static final double NANOS_PER_SECOND = 1e9;

  private double tokens;
  private long filledAt;
  private boolean started;

  /**
   * Takes one token if a send is allowed now.
   *
   * @param perSecond sends per second that this router may make, 0 or more
   */
  boolean tryAcquire(double perSecond, long now) {
    if (!isAvailable(perSecond, now)) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /** Returns whether a send is allowed now. */
  boolean isAvailable(double perSecond, long now) {
    double capacity = Math.max(1, perSecond / 2);
    if (!started) {
      started = true;
      tokens = Math.min(1, perSecond);
    } else {
      tokens = Math.min(capacity, tokens + (now - filledAt) / NANOS_PER_SECOND * perSecond / 2);
    }
    filledAt = now;
    return tokens >= 1;
  }
}
