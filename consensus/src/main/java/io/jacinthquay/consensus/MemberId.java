package io.jacinthquay.consensus;

import java.util.Objects;

/**
 * The stable name of a member, which the transport resolves to an address.
 *
 * @param value a non-blank name of at most {@value #MAX_LENGTH} characters
 */
public record MemberId(String value) implements Comparable<MemberId> {
  /** Maximum length of a name in characters. */
  public static final int MAX_LENGTH = 128;

  /**
   * Checks the name.
   *
   * @throws IllegalArgumentException if the name is blank or too long
   */
  public MemberId {
    Objects.requireNonNull(value, "value");
    if (value.isBlank() || value.length() > MAX_LENGTH) {
      throw new IllegalArgumentException("member name must have 1.." + MAX_LENGTH + " characters");
    }
  }

  @Override
  public int compareTo(MemberId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
