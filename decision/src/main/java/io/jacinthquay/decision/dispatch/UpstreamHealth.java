package io.jacinthquay.decision.dispatch;

/**
 * Judges one upstream by its answers and closes it for a while after failures.
 *
 * <p>Answers the load of an upstream that fails while its health check is good: failures close it
 * for a time that doubles up to a limit, then single requests try it again.
 */
final class UpstreamHealth {
  /** Weight of the newest outcome in the failure rate; about the last ten outcomes count. */
  private static final double NEWEST_WEIGHT = 0.15;

  /** Failure rate above which the upstream is closed; a service's own errors stay below it. */
  private static final double CLOSE_ABOVE = 0.3;

  /** First time that a failing upstream is closed for, in nanoseconds. */
  private static final long FIRST_CLOSED_NANOS = 500_000_000L;

  /** Longest time that a failing upstream is closed for, in nanoseconds. */
  private static final long MOST_CLOSED_NANOS = 4_000_000_000L;

  private double failureRate;
  private int failuresInRow;
  private long closedForNanos = FIRST_CLOSED_NANOS;
  private long closedUntil;
  private boolean closed;
  private boolean trying;

  /** Returns whether a request may be sent. */
  boolean isOpen(long now) {
    return !closed || (now - closedUntil >= 0 && !trying);
  }

  /** Returns whether the upstream was closed and a request may try it. */
  boolean isOnTrial() {
    return closed;
  }

  void sent() {
    trying = closed;
  }

  void succeeded() {
    failureRate *= 1 - NEWEST_WEIGHT;
    failuresInRow = 0;
    trying = false;
    if (closed) {
      closed = false;
      failureRate = Math.min(failureRate, CLOSE_ABOVE / 2);
    } else if (failureRate < NEWEST_WEIGHT / 2) {
      closedForNanos = FIRST_CLOSED_NANOS;
    }
  }

  /** Records a request that ended without saying anything of the upstream. */
  void undecided() {
    trying = false;
  }

  /** Records that the upstream is no longer there; the list may still name it for seconds. */
  void ended(long now) {
    trying = false;
    closed = true;
    closedForNanos = MOST_CLOSED_NANOS;
    closedUntil = now + closedForNanos;
  }

  /**
   * Records a failure.
   *
   * @param certain whether the upstream is surely not serving, such as when it can't be reached
   */
  void failed(boolean certain, long now) {
    failureRate += (1 - failureRate) * NEWEST_WEIGHT;
    failuresInRow++;
    boolean close = certain || trying || failureRate > CLOSE_ABOVE || failuresInRow >= 3;
    trying = false;
    if (close && (!closed || now - closedUntil >= 0)) {
      closed = true;
      closedUntil = now + closedForNanos;
      closedForNanos = Math.min(MOST_CLOSED_NANOS, closedForNanos * 2);
    }
  }
}
