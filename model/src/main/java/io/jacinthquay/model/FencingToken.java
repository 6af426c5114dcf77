package io.jacinthquay.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * A fencing token, which orders the holders of a lease: a later holder has a larger token.
 *
 * @param value 0 or more; 0 if there was no holder yet
 */
public record FencingToken(@JsonValue long value) implements Comparable<FencingToken> {
  /** The token before the first holder. */
  public static final FencingToken NONE = new FencingToken(0);

  /**
   * Validates the range.
   *
   * @throws IllegalArgumentException if {@code value} is negative
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public FencingToken {
    if (value < 0) {
      throw new IllegalArgumentException("a fencing token must not be negative: " + value);
    }
  }

  /** Returns the next token. */
  public FencingToken next() {
    return new FencingToken(value + 1);
  }

  @Override
  public int compareTo(FencingToken other) {
    return Long.compare(value, other.value);
  }
}
