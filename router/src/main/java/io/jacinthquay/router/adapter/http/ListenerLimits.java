package io.jacinthquay.router.adapter.http;

/**
 * Limits that protect a listener against bad input.
 *
 * @param maxHeadBytes largest request head, in bytes
 * @param maxBodyBytes largest request body, in bytes
 * @param maxBufferedBytes most bytes of memory that callers may hold over all connections and
 *     addresses: unfinished heads, bodies, what is read ahead, and responses that aren't read
 * @param maxConnections largest number of open connections
 * @param headMillis longest time for a head to arrive, in milliseconds
 * @param bodyMillis longest time for a body to arrive, in milliseconds
 * @param idleMillis longest time that a connection may stay idle, in milliseconds
 * @param bodyPauseMillis longest time without a byte of an unfinished body, in milliseconds
 * @param minBodyBytesPerSecond least average rate of an unfinished body, in bytes per second;
 *     applies after {@code bodyPauseMillis}
 * @param peerSharePercent part of the memory and of the connections that one address may hold while
 *     they are short, in percent
 */
public record ListenerLimits(
    int maxHeadBytes,
    int maxBodyBytes,
    long maxBufferedBytes,
    int maxConnections,
    int headMillis,
    int bodyMillis,
    int idleMillis,
    int bodyPauseMillis,
    int minBodyBytesPerSecond,
    int peerSharePercent) {

  /** Longer than the 15 s for which callers may be idle. */
  public static final int DEFAULT_BODY_PAUSE_MILLIS = 16_000;

  /** A body of 4 MB that arrives in time is 17,000 times as fast. */
  public static final int DEFAULT_MIN_BODY_BYTES_PER_SECOND = 8;

  /** Callers may share few addresses; this applies only while memory or connections are short. */
  public static final int DEFAULT_PEER_SHARE_PERCENT = 50;

  private static final long MAX_BUFFERED_BYTES = 64L * 1024 * 1024;

  /** Leaves a quarter of 4,100 descriptors to the other addresses, upstreams and files. */
  private static final int MAX_CONNECTIONS = 3_000;

  /** The rest is for answers, connections and the tables of the router. */
  public static final int DEFAULT_HEAP_PERCENT = 25;

  /** Returns limits with the defaults for the pause, the rate and the share of an address. */
  public ListenerLimits(
      int maxHeadBytes,
      int maxBodyBytes,
      long maxBufferedBytes,
      int maxConnections,
      int headMillis,
      int bodyMillis,
      int idleMillis) {
    this(
        maxHeadBytes,
        maxBodyBytes,
        maxBufferedBytes,
        maxConnections,
        headMillis,
        bodyMillis,
        idleMillis,
        DEFAULT_BODY_PAUSE_MILLIS,
        DEFAULT_MIN_BODY_BYTES_PER_SECOND,
        DEFAULT_PEER_SHARE_PERCENT);
  }

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a value is below 1, except the least rate, which may be 0,
   *     or the share is above 100
   */
  public ListenerLimits {
    if (maxHeadBytes < 1 || maxBodyBytes < 1 || maxBufferedBytes < 1 || maxConnections < 1) {
      throw new IllegalArgumentException("sizes must be 1 or more");
    }
    if (headMillis < 1 || bodyMillis < 1 || idleMillis < 1 || bodyPauseMillis < 1) {
      throw new IllegalArgumentException("times must be 1 millisecond or more");
    }
    if (minBodyBytesPerSecond < 0) {
      throw new IllegalArgumentException("the least rate must be 0 or more");
    }
    if (peerSharePercent < 1 || peerSharePercent > 100) {
      throw new IllegalArgumentException("the share must be from 1 to 100");
    }
  }

  /**
   * Returns the most bytes of memory that unfinished request heads may take, over all connections:
   * half as much as {@link #maxBufferedBytes}.
   */
  long maxUnfinishedHeadBytes() {
    return maxBufferedBytes / 2;
  }

  /** Returns a copy with another size of the largest body, in bytes. */
  ListenerLimits withMaxBodyBytes(int bytes) {
    return new ListenerLimits(
        maxHeadBytes,
        bytes,
        maxBufferedBytes,
        maxConnections,
        headMillis,
        bodyMillis,
        idleMillis,
        bodyPauseMillis,
        minBodyBytesPerSecond,
        peerSharePercent);
  }

  /** Returns limits for a small VM; bodies may take a quarter of the heap. */
  public static ListenerLimits defaults() {
    return new ListenerLimits(
        32 * 1024,
        8 * 1024 * 1024,
        heapPart(DEFAULT_HEAP_PERCENT),
        MAX_CONNECTIONS,
        10_000,
        30_000,
        60_000);
  }

  /** Returns the bytes of a part of the heap, 64 MiB at most. */
  public static long heapPart(int percent) {
    return Math.min(MAX_BUFFERED_BYTES, Runtime.getRuntime().maxMemory() / 100 * percent);
  }
}
