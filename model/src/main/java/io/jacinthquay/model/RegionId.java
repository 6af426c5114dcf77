package io.jacinthquay.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * The id of a region, a group of nearby failure domains.
 *
 * <pre>{@code
 * RegionId id = new RegionId("maroc");
 * }</pre>
 *
 * @param value the text form, 1 to 128 characters, each a letter, a digit or one of {@code ._:/-}
 */
public record RegionId(@JsonValue String value) implements Comparable<RegionId> {

  /**
   * Validates the text form.
   *
   * @throws IllegalArgumentException if {@code value} is not a valid id
   */
  @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
  public RegionId {
    Names.check("region", value);
  }

  @Override
  public int compareTo(RegionId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
