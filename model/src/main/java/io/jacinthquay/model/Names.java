package io.jacinthquay.model;

/** Checks the text form of names and ids. */
final class Names {
  /** Longest name, in characters. */
  static final int MAX_LENGTH = 128;

  private Names() {}

  /**
   * Returns the name if it is valid.
   *
   * @param kind what is named, for the message
   * @param value the text to check
   * @throws IllegalArgumentException if the name is missing, too long or has other characters than
   *     letters, digits and {@code ._:/-}
   */
  static String check(String kind, String value) {
    if (value == null || value.isEmpty()) {
      throw new IllegalArgumentException("a " + kind + " name must not be empty");
    }
    if (value.length() > MAX_LENGTH) {
      throw new IllegalArgumentException(
          "a " + kind + " name has at most " + MAX_LENGTH + " characters");
    }
    for (int i = 0; i < value.length(); i++) {
      if (!allowed(value.charAt(i))) {
        throw new IllegalArgumentException(
            "a " + kind + " name must not contain the character at offset " + i);
      }
    }
    return value;
  }

  private static boolean allowed(char c) {
    boolean letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    boolean digit = c >= '0' && c <= '9';
    return letter || digit || "._:/-".indexOf(c) >= 0;
  }
}
