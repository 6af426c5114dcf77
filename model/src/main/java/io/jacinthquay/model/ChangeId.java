package io.jacinthquay.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names one operator change, so that a resend is recognised.
 *
 * <pre>{@code
 * ChangeId id = new ChangeId("2026-12-04-a");
 * }</pre>
 *
 * @param value the text form, 1 to 128 characters out of letters, digits and {@code ._:/-}
 */
public record ChangeId(@JsonValue String value) implements Comparable<ChangeId> {

  /**
   * Checks the text form.
   *
   * @throws IllegalArgumentException if {@code value} is no valid name
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
