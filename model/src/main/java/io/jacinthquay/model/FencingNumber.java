package io.jacinthquay.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A fencing token, which orders the holders of a lease: a later holder has a larger token.
 *
 * @param value 0 or more; 0 if there was no holder yet
 */
public record FencingNumber(@JsonValue long value) implements Comparable<FencingNumber> {
  /** The token before the first holder. */
  public static final FencingNumber NONE = new FencingNumber(0);

  /**
   * Validates the range.
   *
   * @throws IllegalArgumentException if {@code value} is negative
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public FencingNumber {
    if (value < 0) {
      throw new IllegalArgumentException("a fencing token must not be negative: " + value);
    }
  }

  /** Returns the next token. */
  public FencingNumber next() {
    return new FencingNumber(value + 1);
  }

  @Override
  public int compareTo(FencingNumber other) {
    return Long.compare(value, other.value);
  }
}
