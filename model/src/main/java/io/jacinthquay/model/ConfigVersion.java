package io.jacinthquay.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The version of the configuration, as a count of committed changes.
 *
 * @param value 0 or more; 0 if there is no configuration yet
 */
public record ConfigVersion(@JsonValue long value) implements Comparable<ConfigVersion> {
  /** The version before the first change. */
  public static final ConfigVersion NONE = new ConfigVersion(0);

  /**
   * Validates the range.
   *
   * @throws IllegalArgumentException if {@code value} is negative
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public ConfigVersion {
    if (value < 0) {
      throw new IllegalArgumentException("a configuration version must not be negative: " + value);
    }
  }

  /** Returns the next version. */
  public ConfigVersion next() {
    return new ConfigVersion(value + 1);
  }

  @Override
  public int compareTo(ConfigVersion other) {
    return Long.compare(value, other.value);
  }
}
