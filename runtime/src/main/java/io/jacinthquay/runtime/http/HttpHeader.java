package io.jacinthquay.runtime.http;

import java.util.Objects;

/**
 * A header of an HTTP call.
 *
 * @param name the name of the header
 * @param value the value of the header
 */
public record HttpHeader(String name, String value) {
  /**
   * Checks that both parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public HttpHeader {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(value, "value");
  }
}
