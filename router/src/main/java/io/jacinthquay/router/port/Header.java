package io.jacinthquay.router.port;

import java.util.Objects;

/**
 * One HTTP header.
 *
 * @param name the name, in any case
 * @param value the value, without the colon before it
 */
public record Header(String name, String value) {
  /**
   * Checks that no component is missing.
   *
   * @throws NullPointerException if a component is null
   */
  public Header {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(value, "value");
  }
}
