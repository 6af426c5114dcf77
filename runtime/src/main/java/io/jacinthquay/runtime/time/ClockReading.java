package io.jacinthquay.runtime.time;

/**
 * A simultaneous reading of the monotonic clock and the wall clock of this VM.
 *
 * <p>Detects that the VM was suspended while it held a time-limited right such as a lease: the
 * monotonic clock does not count the time of a suspension, the wall clock does. The wall clock may
 * also be stepped, so if the two clocks disagree, the elapsed time is unknown.
 *
 * @param nanos the monotonic clock, in nanoseconds
 * @param wallMillis the wall clock, in milliseconds since the epoch
 */
public record ClockReading(long nanos, long wallMillis) {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * Maximum difference of the clocks without a step or a suspension, in milliseconds. Allows for a
   * thread that is delayed between the two readings; a third of the platform's tolerance after a
   * suspension.
   */
  private static final long MAX_DIFFERENCE_MILLIS = 100;

  /** Returns a reading of the clocks of the Java runtime. */
  public static ClockReading now() {
    return new ClockReading(System.nanoTime(), System.currentTimeMillis());
  }

  /**
   * Returns whether both clocks measured the same elapsed time from this reading to a later one.
   */
  public boolean agreesWith(ClockReading later) {
    long monotonicMillis = (later.nanos - nanos) / NANOS_PER_MILLI;
    return Math.abs(later.wallMillis - wallMillis - monotonicMillis) <= MAX_DIFFERENCE_MILLIS;
  }

  /**
   * Returns the time by which the wall clock advanced more than the monotonic clock from this
   * reading to a later one, in nanoseconds; 0 if they agree or the wall clock was set back.
   */
  public long nanosSuspendedUntil(ClockReading later) {
    long missedNanos = (later.wallMillis - wallMillis) * NANOS_PER_MILLI - (later.nanos - nanos);
    return agreesWith(later) ? 0 : Math.max(0, missedNanos);
  }
}
