package io.jacinthquay.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a pool, a set of interchangeable upstreams.
 *
 * <pre>{@code
 * PoolName name = new PoolName("engines");
 * }</pre>
 *
 * @param value the text form, 1 to 128 characters, each a letter, a digit or one of {@code ._:/-}
 */
public record PoolName(@JsonValue String value) implements Comparable<PoolName> {

  /**
   * Validates the text form.
   *
   * @throws IllegalArgumentException if {@code value} is not a valid name
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
