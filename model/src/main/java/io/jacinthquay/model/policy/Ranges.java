package io.jacinthquay.model.policy;

/** Checks numbers of the configuration against their ranges. */
final class Ranges {
  private Ranges() {}

  /**
   * Checks a whole number.
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
   * Checks a number.
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
