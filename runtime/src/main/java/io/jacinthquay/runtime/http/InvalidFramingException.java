package io.jacinthquay.runtime.http;

import java.io.IOException;

/** Thrown if the end of an HTTP message can't be known, as its framing breaks RFC 9112. */
public final class InvalidFramingException extends IOException {
  private static final long serialVersionUID = 1;

  InvalidFramingException(String message) {
    super(message);
  }
}
