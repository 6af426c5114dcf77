package io.jacinthquay.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a set of interchangeable upstreams.
 *
 * <pre>{@code
 * PoolName id = new PoolName("engines");
 * }</pre>
 *
 * @param value the text form, 1 to 128 characters out of letters, digits and {@code ._:/-}
 */
public record PoolName(@JsonValue String value) implements Comparable<PoolName> {

  /**
   * Checks the text form.
   *
   * @throws IllegalArgumentException if {@code value} is no valid name
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public PoolName {
    Names.check("pool", value);
  }

  @Override
  public int compareTo(PoolName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
