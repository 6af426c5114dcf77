package io.jacinthquay.decision.dispatch;

/**
 * Circuit breaker for one upstream.
 *
 * <p>Handles an upstream that fails requests while its health check passes: failures block requests
 * for a time that doubles up to a limit, then single requests probe the upstream.
 */
final class UpstreamHealth {
  /** Weight of the newest result in the failure rate; about the last ten results count. */
  private static final double NEWEST_WEIGHT = 0.15;

  /** Failure rate above which the breaker trips; ordinary application errors stay below it. */
  private static final double TRIP_RATE = 0.3;

  /** Shortest time that a failing upstream is blocked, in nanoseconds. */
  private static final long MIN_BLOCKED_NANOS = 500_000_000L;

  /** Longest time that a failing upstream is blocked, in nanoseconds. */
  private static final long MAX_BLOCKED_NANOS = 4_000_000_000L;

  private double failureRate;
  private int consecutiveFailures;
  private long maxBlockedNanos = MAX_BLOCKED_NANOS;
  private long blockNanos = MIN_BLOCKED_NANOS;
  private long blockedUntil;
  private boolean blocked;
  private boolean probing;
  private boolean unavailable;

  /**
   * Blocks a failing upstream for the shortest time only. Used where the window of its slow start
   * bounds how many requests of all routers probe it.
   */
  void blockBriefly() {
    maxBlockedNanos = MIN_BLOCKED_NANOS;
  }

  /** Makes the upstream due for a probe because other routers get answers from it. */
  void allowProbe(long now) {
    if (now - blockedUntil < 0) {
      blockedUntil = now;
    }
  }

  /** Returns whether a request may be sent. */
  boolean allowsRequest(long now) {
    return !blocked || (now - blockedUntil >= 0 && !probing);
  }

  /** Returns whether requests are blocked or only probe the upstream. */
  boolean isBlockedOrProbing() {
    return blocked;
  }

  /**
   * Returns whether failed requests, not an upstream that doesn't exist or can't be reached, are
   * the reason that requests are blocked.
   */
  boolean isBlockedByFailures() {
    return blocked && !unavailable;
  }

  void recordSend() {
    probing = blocked;
  }

  void recordSuccess() {
    failureRate *= 1 - NEWEST_WEIGHT;
    consecutiveFailures = 0;
    probing = false;
    if (blocked) {
      blocked = false;
      failureRate = Math.min(failureRate, TRIP_RATE / 2);
    } else if (failureRate < NEWEST_WEIGHT / 2) {
      blockNanos = MIN_BLOCKED_NANOS;
    }
  }

  /** Records a request whose end is no evidence about the upstream. */
  void recordUndecided() {
    probing = false;
  }

  /** Records that the upstream no longer exists; the list may still name it for some seconds. */
  void recordGone(long now) {
    probing = false;
    blocked = true;
    unavailable = true;
    blockNanos = MAX_BLOCKED_NANOS;
    blockedUntil = now + blockNanos;
  }

  /**
   * Records a failure.
   *
   * @param conclusive whether one failure proves that the upstream isn't serving, such as when it
   *     is unreachable
   */
  void recordFailure(boolean conclusive, long now) {
    failureRate += (1 - failureRate) * NEWEST_WEIGHT;
    consecutiveFailures++;
    boolean trip = conclusive || probing || failureRate > TRIP_RATE || consecutiveFailures >= 3;
    probing = false;
    if (trip && (!blocked || now - blockedUntil >= 0)) {
      blocked = true;
      unavailable = conclusive;
      blockedUntil = now + blockNanos;
      blockNanos = Math.min(maxBlockedNanos, blockNanos * 2);
    }
  }
}
