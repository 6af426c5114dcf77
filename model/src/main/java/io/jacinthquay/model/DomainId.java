package io.jacinthquay.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The id of a failure domain, a set of VMs that fail or lose connectivity together.
 *
 * <pre>{@code
 * DomainId id = new DomainId("casablanca-a");
 * }</pre>
 *
 * @param value the text form, 1 to 128 characters, each a letter, a digit or one of {@code ._:/-}
 */
public record DomainId(@JsonValue String value) implements Comparable<DomainId> {

  /**
   * Validates the text form.
   *
   * @throws IllegalArgumentException if {@code value} is not a valid id
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public DomainId {
    Names.check("failure domain", value);
  }

  @Override
  public int compareTo(DomainId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
