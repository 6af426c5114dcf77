package io.jacinthquay.router.adapter.http;

/**
 * Limits that protect a listener against bad input.
 *
 * @param maxHeadBytes largest request head, in bytes
 * @param maxBodyBytes largest request body, in bytes
 * @param maxBufferedBytes most bytes, over all connections, of bodies that are being read and of
 *     later requests that are read ahead
 * @param maxConnections largest number of open connections
 * @param headMillis longest time for a head to arrive, in milliseconds
 * @param bodyMillis longest time for a body to arrive, in milliseconds
 * @param idleMillis longest time that a connection may stay idle, in milliseconds
 */
public record ListenerLimits(
    int maxHeadBytes,
    int maxBodyBytes,
    long maxBufferedBytes,
    int maxConnections,
    int headMillis,
    int bodyMillis,
    int idleMillis) {

  private static final long MAX_BUFFERED_BYTES = 64L * 1024 * 1024;

  /** Leaves a quarter of 4,100 descriptors to the other addresses, upstreams and files. */
  private static final int MAX_CONNECTIONS = 3_000;

  /** The rest is for answers, connections and the tables of the router. */
  private static final double BODY_HEAP_SHARE = 0.25;

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a value is below 1
   */
  public ListenerLimits {
    if (maxHeadBytes < 1 || maxBodyBytes < 1 || maxBufferedBytes < 1 || maxConnections < 1) {
      throw new IllegalArgumentException("sizes must be 1 or more");
    }
    if (headMillis < 1 || bodyMillis < 1 || idleMillis < 1) {
      throw new IllegalArgumentException("times must be 1 millisecond or more");
    }
  }

  /**
   * Returns the most bytes of memory that unfinished request heads may take, over all connections:
   * half as much as {@link #maxBufferedBytes}.
   */
  long maxUnfinishedHeadBytes() {
    return maxBufferedBytes / 2;
  }

  /** Returns limits for a small VM; bodies may take a quarter of the heap. */
  public static ListenerLimits defaults() {
    long bodyBytes = (long) (Runtime.getRuntime().maxMemory() * BODY_HEAP_SHARE);
    return new ListenerLimits(
        32 * 1024,
        8 * 1024 * 1024,
        Math.min(MAX_BUFFERED_BYTES, bodyBytes),
        MAX_CONNECTIONS,
        10_000,
        30_000,
        60_000);
  }
}
