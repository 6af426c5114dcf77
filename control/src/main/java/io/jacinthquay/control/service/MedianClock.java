package io.jacinthquay.control.service;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * A clock that tells the median time of day of this VM and the routers. Thread-safe.
 *
 * <p>Handles time-of-day clocks that are stepped by seconds on some VMs: all VMs divide usage into
 * windows by this time. Each router's time of day is stored as an offset from this VM's monotonic
 * clock, so that a step of this VM's own time of day changes only one of many values.
 */
public final class MedianClock {
  /** Time without a report after which a router's time of day is dropped, in nanoseconds. */
  private static final long EXPIRY_NANOS = 6_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private record Offset(long millis, long recordedNanos) {}

  private final LongSupplier monotonic;
  private final LongSupplier wall;
  private final Map<String, Offset> offsets = new HashMap<>();

  /**
   * Returns a clock that tells this VM's own time of day until routers report theirs.
   *
   * @param monotonic monotonic clock in nanoseconds
   * @param wall this VM's time of day in milliseconds since the epoch
   */
  public MedianClock(LongSupplier monotonic, LongSupplier wall) {
    this.monotonic = monotonic;
    this.wall = wall;
  }

  /** Records the time of day that a router has just reported, in milliseconds since the epoch. */
  public synchronized void recordTime(String router, long wallMillis) {
    long now = monotonic.getAsLong();
    offsets.put(router, new Offset(wallMillis - now / NANOS_PER_MILLI, now));
    offsets.values().removeIf(offset -> now - offset.recordedNanos() > EXPIRY_NANOS);
  }

  /** Returns the median time of day, in milliseconds since the epoch. */
  public synchronized long wallMillis() {
    long nowMillis = monotonic.getAsLong() / NANOS_PER_MILLI;
    long[] offsetMillis = new long[offsets.size() + 1];
    int count = 0;
    for (Offset offset : offsets.values()) {
      offsetMillis[count++] = offset.millis();
    }
    offsetMillis[count] = wall.getAsLong() - nowMillis;
    Arrays.sort(offsetMillis);
    return nowMillis + offsetMillis[offsetMillis.length / 2];
  }
}
