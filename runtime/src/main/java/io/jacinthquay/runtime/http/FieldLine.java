package io.jacinthquay.runtime.http;

import java.nio.charset.StandardCharsets;

/**
 * Reads the lines of a head or of trailers, one after the other. Lines end with CR and LF; nothing
 * is kept of a line beyond {@link #MAX_KEPT_BYTES}.
 */
final class FieldLine {
  /** Bytes that are kept of a line: more than the lines have on which framing depends. */
  static final int MAX_KEPT_BYTES = 128;

  private static final String NAME_SYMBOLS = "!#$%&'*+-.^_`|~";

  private final byte[] kept = new byte[MAX_KEPT_BYTES];
  private int length;
  private int colon = -1;
  private boolean afterReturn;
  private boolean complete;

  /**
   * Adds a byte and returns whether it ends the line. The next byte begins the next line.
   *
   * @throws InvalidFramingException if the byte isn't allowed there
   */
  boolean add(byte next) throws InvalidFramingException {
    if (complete) {
      clear();
    }
    if (afterReturn != (next == '\n')) {
      throw new InvalidFramingException("a line doesn't end with CR and LF");
    }
    if (next == 0) {
      throw new InvalidFramingException("a line has a NUL");
    }
    if (next == '\n') {
      complete = true;
    } else if (next == '\r') {
      afterReturn = true;
    } else {
      keep(next);
    }
    return complete;
  }

  private void keep(byte next) {
    if (length < MAX_KEPT_BYTES) {
      kept[length] = next;
    }
    if (next == ':' && colon < 0) {
      colon = length;
    }
    length++;
  }

  void clear() {
    length = 0;
    colon = -1;
    afterReturn = false;
    complete = false;
  }

  /** Returns whether the line has a number of bytes between two, both included. */
  boolean isBetween(int minLength, int maxLength) {
    return !complete && length >= minLength && length <= maxLength;
  }

  boolean isEmpty() {
    return length == 0;
  }

  /** Returns the line, without what isn't kept of it. */
  String text() {
    return new String(kept, 0, Math.min(length, MAX_KEPT_BYTES), StandardCharsets.ISO_8859_1);
  }

  /**
   * Checks that the line is a name, a colon and a value. A parser may take a line that continues
   * the one before, or has a blank before its colon, for another field than its sender meant.
   */
  void checkField() throws InvalidFramingException {
    if (colon <= 0 || colon > MAX_KEPT_BYTES) {
      throw new InvalidFramingException("a line is no header field");
    }
    for (int i = 0; i < colon; i++) {
      if (!isNameByte(kept[i])) {
        throw new InvalidFramingException("the name of a header field has an invalid character");
      }
    }
  }

  private static boolean isNameByte(byte next) {
    return (next >= 'a' && next <= 'z')
        || (next >= 'A' && next <= 'Z')
        || (next >= '0' && next <= '9')
        || (next > 0 && NAME_SYMBOLS.indexOf(next) >= 0);
  }

  /** Returns whether the line is a field of a name. */
  boolean isNamed(String name) {
    return colon == name.length()
        && new String(kept, 0, colon, StandardCharsets.ISO_8859_1).equalsIgnoreCase(name);
  }

  /**
   * Returns the value of the field, without blanks around it.
   *
   * @throws InvalidFramingException if the line is too long to be kept
   */
  String value() throws InvalidFramingException {
    if (length > MAX_KEPT_BYTES) {
      throw new InvalidFramingException("a field of the framing is too long");
    }
    return text().substring(colon + 1).strip();
  }
}
