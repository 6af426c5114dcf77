package io.jacinthquay.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The priority of a request class. Tier 0 has the highest priority and is shed last.
 *
 * @param value 0 to 15
 */
public record Tier(@JsonValue int value) implements Comparable<Tier> {
  /** The largest tier, which has the lowest priority. */
  public static final int MAX = 15;

  /**
   * Validates the range.
   *
   * @throws IllegalArgumentException if {@code value} is outside 0 to 15
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public Tier {
    if (value < 0 || value > MAX) {
      throw new IllegalArgumentException("a tier must be from 0 to " + MAX);
    }
  }

  /** Returns whether this tier has a higher priority than {@code other}. */
  public boolean isHigherThan(Tier other) {
    return value < other.value;
  }

  @Override
  public int compareTo(Tier other) {
    return Integer.compare(value, other.value);
  }
}
