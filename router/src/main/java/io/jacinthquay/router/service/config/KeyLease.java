package io.jacinthquay.router.service.config;

import java.util.concurrent.atomic.AtomicLong;

/**
 * The lease during which the key table of this router counts as current.
 *
 * <p>Times are those of {@link System#nanoTime()}, in nanoseconds.
 */
public final class KeyLease {
  private final AtomicLong endNanos = new AtomicLong();
  private volatile boolean renewed;

  /** Extends the lease; has no effect if the new end is before the present one. */
  public void renew(long newEndNanos) {
    if (!renewed) {
      endNanos.set(newEndNanos);
      renewed = true;
      return;
    }
    endNanos.accumulateAndGet(newEndNanos, (a, b) -> b - a > 0 ? b : a);
  }

  /** Ends the lease at once. */
  public void expire() {
    renewed = false;
  }

  /**
   * Returns whether the key table is current.
   *
   * @param graceNanos how much longer the table counts as current after the end, 0 or more
   */
  public boolean isCurrent(long nowNanos, long graceNanos) {
    return renewed && nowNanos - endNanos.get() < graceNanos;
  }

  /** Returns the time left, in nanoseconds; negative if the lease has expired or never began. */
  public long remainingNanos(long nowNanos) {
    return renewed ? endNanos.get() - nowNanos : -1;
  }
}
