package io.jacinthquay.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Numbers the states of the configuration, counted by committed changes.
 *
 * @param value 0 or more; 0 stands for none yet
 */
public record ConfigVersion(@JsonValue long value) implements Comparable<ConfigVersion> {
  /** The number before the first. */
  public static final ConfigVersion NONE = new ConfigVersion(0);

  /**
   * Checks the range.
   *
   * @throws IllegalArgumentException if {@code value} is negative
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public ConfigVersion {
    if (value < 0) {
      throw new IllegalArgumentException("must not be negative: " + value);
    }
  }

  /** Returns the number that follows this one. */
  public ConfigVersion next() {
    return new ConfigVersion(value + 1);
  }

  @Override
  public int compareTo(ConfigVersion other) {
    return Long.compare(value, other.value);
  }
}
