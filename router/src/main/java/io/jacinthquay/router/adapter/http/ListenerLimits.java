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

  /** Returns limits for a small VM. */
  public static ListenerLimits defaults() {
    return new ListenerLimits(
        32 * 1024, 8 * 1024 * 1024, 64L * 1024 * 1024, 10_000, 10_000, 30_000, 60_000);
  }
}
