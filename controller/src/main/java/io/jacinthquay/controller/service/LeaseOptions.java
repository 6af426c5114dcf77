package io.jacinthquay.controller.service;

import java.time.Duration;
import java.util.Objects;

/**
 * The duration of a lease and the assumed clock drift.
 *
 * @param length the duration that is requested, more than zero
 * @param maxDriftRatio largest error of a clock's rate, as a ratio from 0 to 0.5
 */
public record LeaseOptions(Duration length, double maxDriftRatio) {
  /** A duration of ten seconds and a drift of up to 1 percent. */
  public static final LeaseOptions DEFAULT = new LeaseOptions(Duration.ofSeconds(10), 0.01);

  private static final double DRIFT_RATIO_LIMIT = 0.5;

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a value is out of range
   */
  public LeaseOptions {
    Objects.requireNonNull(length, "length");
    if (length.isNegative() || length.isZero()) {
      throw new IllegalArgumentException("a lease must last longer than zero");
    }
    if (!(maxDriftRatio >= 0 && maxDriftRatio <= DRIFT_RATIO_LIMIT)) {
      throw new IllegalArgumentException("maxDriftRatio must be from 0 to " + DRIFT_RATIO_LIMIT);
    }
  }

  /** Returns how long the holder may use a grant despite clock drift, in nanoseconds. */
  long usableNanos(Duration granted) {
    return (long) (granted.toNanos() * (1 - maxDriftRatio));
  }
}
