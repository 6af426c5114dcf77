package io.jacinthquay.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The name of a language model that callers request.
 *
 * <pre>{@code
 * ModelName name = new ModelName("mender-8b");
 * }</pre>
 *
 * @param value the text form, 1 to 128 characters, each a letter, a digit or one of {@code ._:/-}
 */
public record ModelName(@JsonValue String value) implements Comparable<ModelName> {

  /**
   * Validates the text form.
   *
   * @throws IllegalArgumentException if {@code value} is not a valid name
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public ModelName {
    Names.check("model", value);
  }

  @Override
  public int compareTo(ModelName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
