package io.jacinthquay.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The id of one operator change. A change that is sent again under the same id is recognised as a
 * duplicate.
 *
 * <pre>{@code
 * ChangeId id = new ChangeId("2026-12-04-a");
 * }</pre>
 *
 * @param value the text form, 1 to 128 characters, each a letter, a digit or one of {@code ._:/-}
 */
public record ChangeId(@JsonValue String value) implements Comparable<ChangeId> {

  /**
   * Validates the text form.
   *
   * @throws IllegalArgumentException if {@code value} is not a valid id
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public ChangeId {
    Names.check("change", value);
  }

  @Override
  public int compareTo(ChangeId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
