package io.jacinthquay.router.port;

import java.util.Objects;

/**
 * One HTTP header.
 *
 * @param name in any case
 * @param value the text after the colon
 */
public record Header(String name, String value) {
  /**
   * Checks that both parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public Header {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(value, "value");
  }
}
