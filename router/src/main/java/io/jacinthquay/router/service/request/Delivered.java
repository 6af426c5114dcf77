package io.jacinthquay.router.service.request;

import java.util.Objects;

/**
 * What a caller was given of a streamed answer.
 *
 * @param tokens whole tokens, 0 or more
 * @param text their text
 */
record Delivered(int tokens, String text) {
  /** Nothing yet. */
  static final Delivered NOTHING = new Delivered(0, "");

  Delivered {
    Objects.requireNonNull(text, "text");
    if (tokens < 0) {
      throw new IllegalArgumentException("tokens must not be negative");
    }
  }
}
