package io.jacinthquay.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a plain HTTP route.
 *
 * <pre>{@code
 * RouteName name = new RouteName("tickets");
 * }</pre>
 *
 * @param value the text form, 1 to 128 characters, each a letter, a digit or one of {@code ._:/-}
 */
public record RouteName(@JsonValue String value) implements Comparable<RouteName> {

  /**
   * Validates the text form.
   *
   * @throws IllegalArgumentException if {@code value} is not a valid name
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public RouteName {
    Names.check("route", value);
  }

  @Override
  public int compareTo(RouteName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
