package io.jacinthquay.decision.dispatch;

/**
 * This router's share of what a cold upstream bears a second.
 *
 * <p>All routers together stay within the bound also while they can't talk to each other, because
 * each keeps to an equal share of it, in every second.
 */
final class ColdShare {
  private static final double SECOND_NANOS = 1e9;

  private double tokens;
  private long filledAt;
  private boolean started;

  /**
   * Takes one send if the share allows it.
   *
   * @param perSecond sends a second that this router may make, 0 or more
   */
  boolean tryTake(double perSecond, long now) {
    if (!available(perSecond, now)) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /** Returns whether a send would be allowed now. */
  boolean available(double perSecond, long now) {
    double most = Math.max(1, perSecond / 2);
    if (!started) {
      started = true;
      tokens = Math.min(1, perSecond);
    } else {
      tokens = Math.min(most, tokens + (now - filledAt) / SECOND_NANOS * perSecond / 2);
    }
    filledAt = now;
    return tokens >= 1;
  }
}
