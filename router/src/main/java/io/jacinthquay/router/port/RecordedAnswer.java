package io.jacinthquay.router.port;

import java.util.Objects;

/**
 * An answer kept for replay.
 *
 * @param status HTTP status
 * @param contentType value of the header {@code Content-Type}; empty if there was none
 * @param body the whole body
 */
@SuppressWarnings("ArrayRecordComponent")
public record RecordedAnswer(int status, String contentType, byte[] body) {
  /**
   * Checks that all parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public RecordedAnswer {
    Objects.requireNonNull(contentType, "contentType");
    Objects.requireNonNull(body, "body");
  }
}
