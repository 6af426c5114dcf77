package io.jacinthquay.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a request class, which has one latency target and one tier.
 *
 * <pre>{@code
 * ClassName name = new ClassName("fit-advice");
 * }</pre>
 *
 * @param value the text form, 1 to 128 characters, each a letter, a digit or one of {@code ._:/-}
 */
public record ClassName(@JsonValue String value) implements Comparable<ClassName> {

  /**
   * Validates the text form.
   *
   * @throws IllegalArgumentException if {@code value} is not a valid name
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public ClassName {
    Names.check("class", value);
  }

  @Override
  public int compareTo(ClassName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
