package io.jacinthquay.model;

/**
 * The version of the software that an upstream runs. Versions have no order; they are equal or not.
 *
 * @param value the text form, 0 to 128 characters
 */
public record SoftwareVersion(String value) {
  /** The version of upstreams for which the platform states none. */
  public static final SoftwareVersion UNSPECIFIED = new SoftwareVersion("");

  private static final int MAX_LENGTH = 128;

  /**
   * Validates the text form.
   *
   * @throws IllegalArgumentException if {@code value} is too long
   */
  public SoftwareVersion {
    if (value.length() > MAX_LENGTH) {
      throw new IllegalArgumentException("a version has " + MAX_LENGTH + " characters at most");
    }
  }

  @Override
  public String toString() {
    return value;
  }
}
