package io.jacinthquay.router.service.config;

import java.util.concurrent.atomic.AtomicLong;

/**
 * How long the key table of this router is current.
 *
 * <p>Times are those of {@link System#nanoTime()}, in nanoseconds.
 */
public final class KeyLease {
  private final AtomicLong until = new AtomicLong();
  private volatile boolean renewed;

  /** Extends the lease; an earlier end than the present one changes nothing. */
  public void renew(long untilNanos) {
    if (!renewed) {
      until.set(untilNanos);
      renewed = true;
      return;
    }
    until.accumulateAndGet(untilNanos, (a, b) -> b - a > 0 ? b : a);
  }

  /** Ends the lease at once. */
  public void expire() {
    renewed = false;
  }

  /**
   * Returns whether the key table is current.
   *
   * @param graceNanos how much longer it counts as current, 0 or more
   */
  public boolean isCurrent(long nowNanos, long graceNanos) {
    return renewed && nowNanos - until.get() < graceNanos;
  }

  /** Returns how long the lease still lasts; negative if it has run out or never began. */
  public long leftNanos(long nowNanos) {
    return renewed ? until.get() - nowNanos : -1;
  }
}
