package io.jacinthquay.runtime.http;

import java.util.Objects;

/**
 * One header of a call.
 *
 * @param name its name
 * @param value its value
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
