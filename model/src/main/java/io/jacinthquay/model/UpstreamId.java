package io.jacinthquay.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names one upstream, a model engine or a plain service.
 *
 * <pre>{@code
 * UpstreamId id = new UpstreamId("engine-7");
 * }</pre>
 *
 * @param value the text form, 1 to 128 characters out of letters, digits and {@code ._:/-}
 */
public record UpstreamId(@JsonValue String value) implements Comparable<UpstreamId> {

  /**
   * Checks the text form.
   *
   * @throws IllegalArgumentException if {@code value} is no valid name
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
