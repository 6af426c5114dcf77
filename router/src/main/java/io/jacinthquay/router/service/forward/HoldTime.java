package io.jacinthquay.router.service.forward;

/** How long requests of a pool hold a slot, as an average in which older requests count less. */
final class HoldTime {
  /** Weight of the newest request; about the last twenty count. */
  private static final double NEWEST_WEIGHT = 0.05;

  /** One request counts as at most so many times the average, and at least the inverse of it. */
  private static final double MAX_RATIO = 4;

  private double millis;

  /**
   * Returns an average.
   *
   * @param initialMillis assumed while nothing is measured, above 0
   */
  HoldTime(double initialMillis) {
    this.millis = initialMillis;
  }

  void record(double measuredMillis) {
    double bounded = Math.max(millis / MAX_RATIO, Math.min(millis * MAX_RATIO, measuredMillis));
    millis += NEWEST_WEIGHT * (bounded - millis);
  }

  /** Returns the average in milliseconds, above 0. */
  double millis() {
    return millis;
  }
}
