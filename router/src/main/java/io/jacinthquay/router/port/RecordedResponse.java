package io.jacinthquay.router.port;

import java.util.Objects;

/**
 * A response recorded for replay.
 *
 * @param status the HTTP status code
 * @param contentType value of the header {@code Content-Type}; empty if it was absent
 * @param body the complete body
 */
@SuppressWarnings("ArrayRecordComponent")
public record RecordedResponse(int status, String contentType, byte[] body) {
  /**
   * Checks that no component is missing.
   *
   * @throws NullPointerException if a component is null
   */
  public RecordedResponse {
    Objects.requireNonNull(contentType, "contentType");
    Objects.requireNonNull(body, "body");
  }
}
