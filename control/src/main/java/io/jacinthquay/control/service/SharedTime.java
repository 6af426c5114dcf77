package io.jacinthquay.control.service;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The time of day that most VMs agree on.
 *
 * <p>Answers clocks that are stepped by seconds on some VMs: windows of usage are cut by this time
 * everywhere. Each router's time of day is kept as a distance from this VM's monotonic clock, so
 * that a step of this VM's own time of day is one voice among many.
 */
public final class SharedTime {
  /** Time after which a router that is silent has no voice, in nanoseconds. */
  private static final long SILENT_NANOS = 6_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private record Voice(long distanceMillis, long heardNanos) {}

  private final LongSupplier monotonic;
  private final LongSupplier wall;
  private final Map<String, Voice> voices = new HashMap<>();

  /**
   * Returns a time that is this VM's own until routers are heard.
   *
   * @param monotonic monotonic clock in nanoseconds
   * @param wall this VM's time of day in milliseconds since the epoch
   */
  public SharedTime(LongSupplier monotonic, LongSupplier wall) {
    this.monotonic = monotonic;
    this.wall = wall;
  }

  /** Takes in the time of day that a router has just told, in milliseconds since the epoch. */
  public synchronized void heard(String router, long wallMillis) {
    long now = monotonic.getAsLong();
    voices.put(router, new Voice(wallMillis - now / NANOS_PER_MILLI, now));
    voices.values().removeIf(voice -> now - voice.heardNanos() > SILENT_NANOS);
  }

  /** Returns the median of all times of day, in milliseconds since the epoch. */
  public synchronized long millis() {
    long now = monotonic.getAsLong() / NANOS_PER_MILLI;
    long[] distances = new long[voices.size() + 1];
    int count = 0;
    for (Voice voice : voices.values()) {
      distances[count++] = voice.distanceMillis();
    }
    distances[count] = wall.getAsLong() - now;
    Arrays.sort(distances);
    return now + distances[distances.length / 2];
  }
}
