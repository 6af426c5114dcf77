package io.jacinthquay.controller.service;

import java.time.Duration;
import java.util.Objects;

/**
 * How long a lease lasts and how far clocks may drift.
 *
 * @param length the length asked for
 * @param driftShare largest error of a clock's rate, as a share, 0 to 0.5
 */
public record LeaseTimes(Duration length, double driftShare) {
  /** Ten seconds and a drift of one in a hundred. */
  public static final LeaseTimes DEFAULT = new LeaseTimes(Duration.ofSeconds(10), 0.01);

  private static final double MAX_DRIFT_SHARE = 0.5;

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a value is out of range
   */
  public LeaseTimes {
    Objects.requireNonNull(length, "length");
    if (length.isNegative() || length.isZero()) {
      throw new IllegalArgumentException("a lease lasts longer than nothing");
    }
    if (!(driftShare >= 0 && driftShare <= MAX_DRIFT_SHARE)) {
      throw new IllegalArgumentException("a drift share is from 0 to " + MAX_DRIFT_SHARE);
    }
  }

  /** Returns the part of a granted length that the holder may use, in nanoseconds. */
  long usableNanos(Duration granted) {
    return (long) (granted.toNanos() * (1 - driftShare));
  }
}
