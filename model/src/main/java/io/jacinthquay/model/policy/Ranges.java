package io.jacinthquay.model.policy;

/** Validates that numbers of the configuration are within their ranges. */
final class Ranges {
  private Ranges() {}

  /**
   * Validates an integer.
   *
   * @throws IllegalArgumentException if {@code value} is outside {@code min} to {@code max}
   */
  static void check(String field, long value, long min, long max) {
    if (value < min || value > max) {
      throw new IllegalArgumentException(
          field + " is " + value + " and must be from " + min + " to " + max);
    }
  }

  /**
   * Validates a floating-point number; NaN is out of range.
   *
   * @throws IllegalArgumentException if {@code value} is outside {@code min} to {@code max}
   */
  static void check(String field, double value, double min, double max) {
    if (!(value >= min && value <= max)) {
      throw new IllegalArgumentException(
          field + " is " + value + " and must be from " + min + " to " + max);
    }
  }
}
