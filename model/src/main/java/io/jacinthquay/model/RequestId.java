package io.jacinthquay.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The id of a request within the system.
 *
 * <pre>{@code
 * RequestId id = new RequestId("r-1f3a");
 * }</pre>
 *
 * @param value the text form, 1 to 128 characters, each a letter, a digit or one of {@code ._:/-}
 */
public record RequestId(@JsonValue String value) implements Comparable<RequestId> {

  /**
   * Validates the text form.
   *
   * @throws IllegalArgumentException if {@code value} is not a valid id
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public RequestId {
    Names.check("request", value);
  }

  @Override
  public int compareTo(RequestId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
