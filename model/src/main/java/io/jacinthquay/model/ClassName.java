package io.jacinthquay.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a class of work with one latency target and one tier.
 *
 * <pre>{@code
 * ClassName id = new ClassName("fit-advice");
 * }</pre>
 *
 * @param value the text form, 1 to 128 characters out of letters, digits and {@code ._:/-}
 */
public record ClassName(@JsonValue String value) implements Comparable<ClassName> {

  /**
   * Checks the text form.
   *
   * @throws IllegalArgumentException if {@code value} is no valid name
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
