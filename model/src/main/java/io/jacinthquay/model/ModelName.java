package io.jacinthquay.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Names a language model that callers ask for.
 *
 * <pre>{@code
 * ModelName id = new ModelName("mender-8b");
 * }</pre>
 *
 * @param value the text form, 1 to 128 characters out of letters, digits and {@code ._:/-}
 */
public record ModelName(@JsonValue String value) implements Comparable<ModelName> {

  /**
   * Checks the text form.
   *
   * @throws IllegalArgumentException if {@code value} is no valid name
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
