package io.jacinthquay.runtime.time;

/**
 * A moment as both clocks of this VM tell it.
 *
 * <p>Answers a VM that is suspended while it holds a right for a limited time: its monotonic clock
 * does not count that time, its time of day does. The time of day may be stepped as well, so that
 * where the two disagree nobody here knows how much time has passed.
 *
 * @param nanos the monotonic clock in nanoseconds
 * @param wallMillis the time of day in milliseconds since the epoch
 */
public record ClockReading(long nanos, long wallMillis) {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * How far the clocks may come apart without a step or a suspension, in milliseconds: a thread
   * that is held up between the two readings. A third of what the platform forgives after a freeze.
   */
  private static final long APART_MILLIS = 100;

  /** Reads the clocks of the Java runtime. */
  public static ClockReading now() {
    return new ClockReading(System.nanoTime(), System.currentTimeMillis());
  }

  /** Returns whether both clocks say that the same time passed from this reading to a later one. */
  public boolean agreesWith(ClockReading later) {
    long monotonic = (later.nanos - nanos) / NANOS_PER_MILLI;
    return Math.abs(later.wallMillis - wallMillis - monotonic) <= APART_MILLIS;
  }
}
