package io.jacinthquay.runtime;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Lets one log line a second through, so that a fault that repeats often doesn't fill the log.
 * Thread-safe.
 */
public final class LogThrottle {
  /** Shortest time between two lines, in nanoseconds. */
  static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final AtomicLong lineNanos;

  /**
   * Returns a throttle that lets a first line through at once.
   *
   * @param nowNanos the time now, on a monotonic clock
   */
  public LogThrottle(long nowNanos) {
    this.lineNanos = new AtomicLong(nowNanos - INTERVAL_NANOS);
  }

  /**
   * Returns whether a line may be logged now, which counts as logged then.
   *
   * @param nowNanos the time now, on the same clock
   */
  public boolean tryAcquire(long nowNanos) {
    long last = lineNanos.get();
    return nowNanos - last >= INTERVAL_NANOS && lineNanos.compareAndSet(last, nowNanos);
  }
}
