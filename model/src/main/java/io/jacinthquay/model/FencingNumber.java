package io.jacinthquay.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Orders the holders of a lease: a later holder has a larger number.
 *
 * @param value 0 or more; 0 stands for none yet
 */
public record FencingNumber(@JsonValue long value) implements Comparable<FencingNumber> {
  /** The number before the first. */
  public static final FencingNumber NONE = new FencingNumber(0);

  /**
   * Checks the range.
   *
   * @throws IllegalArgumentException if {@code value} is negative
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public FencingNumber {
    if (value < 0) {
      throw new IllegalArgumentException("must not be negative: " + value);
    }
  }

  /** Returns the number that follows this one. */
  public FencingNumber next() {
    return new FencingNumber(value + 1);
  }

  @Override
  public int compareTo(FencingNumber other) {
    return Long.compare(value, other.value);
  }
}
