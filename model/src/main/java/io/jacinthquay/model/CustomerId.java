package io.jacinthquay.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The id of a customer, which owns keys and is billed.
 *
 * <pre>{@code
 * CustomerId id = new CustomerId("lakeshore");
 * }</pre>
 *
 * @param value the text form, 1 to 128 characters, each a letter, a digit or one of {@code ._:/-}
 */
public record CustomerId(@JsonValue String value) implements Comparable<CustomerId> {

  /**
   * Validates the text form.
   *
   * @throws IllegalArgumentException if {@code value} is not a valid id
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public CustomerId {
    Names.check("customer", value);
  }

  @Override
  public int compareTo(CustomerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
