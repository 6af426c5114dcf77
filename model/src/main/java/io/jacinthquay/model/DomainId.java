package io.jacinthquay.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a failure domain, the set of VMs that fail or are cut off together.
 *
 * <pre>{@code
 * DomainId id = new DomainId("casablanca-a");
 * }</pre>
 *
 * @param value the text form, 1 to 128 characters out of letters, digits and {@code ._:/-}
 */
public record DomainId(@JsonValue String value) implements Comparable<DomainId> {

  /**
   * Checks the text form.
   *
   * @throws IllegalArgumentException if {@code value} is no valid name
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
