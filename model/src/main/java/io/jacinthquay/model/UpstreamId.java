package io.jacinthquay.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The id of an upstream, which is a model engine or a plain service.
 *
 * <pre>{@code
 * UpstreamId id = new UpstreamId("engine-7");
 * }</pre>
 *
 * @param value the text form, 1 to 128 characters, each a letter, a digit or one of {@code ._:/-}
 */
public record UpstreamId(@JsonValue String value) implements Comparable<UpstreamId> {

  /**
   * Validates the text form.
   *
   * @throws IllegalArgumentException if {@code value} is not a valid id
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public UpstreamId {
    Names.check("upstream", value);
  }

  @Override
  public int compareTo(UpstreamId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
