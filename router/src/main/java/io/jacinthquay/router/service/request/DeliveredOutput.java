package io.jacinthquay.router.service.request;

import java.util.Objects;

/**
 * The part of a streamed answer that was sent to the caller.
 *
 * @param tokens number of complete tokens, 0 or more
 * @param text the text of these tokens
 */
record DeliveredOutput(int tokens, String text) {
  /** No output yet. */
  static final DeliveredOutput NOTHING = new DeliveredOutput(0, "");

  DeliveredOutput {
    Objects.requireNonNull(text, "text");
    if (tokens < 0) {
      throw new IllegalArgumentException("tokens must not be negative");
    }
  }
}
