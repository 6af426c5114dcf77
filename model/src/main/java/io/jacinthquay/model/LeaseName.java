package io.jacinthquay.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a lease, such as {@code capacity/casablanca-a}.
 *
 * <pre>{@code
 * LeaseName name = new LeaseName("usage/0");
 * }</pre>
 *
 * @param value the text form, 1 to 128 characters, each a letter, a digit or one of {@code ._:/-}
 */
public record LeaseName(@JsonValue String value) implements Comparable<LeaseName> {

  /**
   * Validates the text form.
   *
   * @throws IllegalArgumentException if {@code value} is not a valid name
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public LeaseName {
    Names.check("lease", value);
  }

  @Override
  public int compareTo(LeaseName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
