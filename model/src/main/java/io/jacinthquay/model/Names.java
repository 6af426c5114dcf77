package io.jacinthquay.model;

/** Validates the text form of names and ids. */
final class Names {
  /** Maximum length of a name, in characters. */
  static final int MAX_LENGTH = 128;

  private Names() {}

  /**
   * Returns a name if it is valid.
   *
   * @param kind the kind of entity that is named, for the message
   * @param value the name to validate
   * @throws IllegalArgumentException if the name is missing, too long or contains a character other
   *     than letters, digits and {@code ._:/-}
   */
  static String check(String kind, String value) {
    if (value == null || value.isEmpty()) {
      throw new IllegalArgumentException("a " + kind + " name must not be empty");
    }
    if (value.length() > MAX_LENGTH) {
      throw new IllegalArgumentException(
          "a " + kind + " name must have at most " + MAX_LENGTH + " characters");
    }
    for (int i = 0; i < value.length(); i++) {
      if (!isAllowed(value.charAt(i))) {
        throw new IllegalArgumentException(
            "a " + kind + " name must not contain the character at offset " + i);
      }
    }
    return value;
  }

  private static boolean isAllowed(char c) {
    boolean isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    boolean isDigit = c >= '0' && c <= '9';
    return isLetter || isDigit || "._:/-".indexOf(c) >= 0;
  }
}
