package io.jacinthquay.runtime.http;

import java.util.Objects;

/**
 * The answer to one call.
 *
 * @param status the HTTP status
 * @param body the body as text
 */
public record HttpAnswer(int status, String body) {
  private static final int FIRST_SUCCESS = 200;
  private static final int FIRST_REDIRECT = 300;

  /**
   * Checks that the body is present.
   *
   * @throws NullPointerException if {@code body} is missing
   */
  public HttpAnswer {
    Objects.requireNonNull(body, "body");
  }

  /** Returns whether the status is one of success. */
  public boolean isSuccess() {
    return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
  }
}
