package io.jacinthquay.runtime.http;

import java.util.Objects;

/**
 * The response to an HTTP call.
 *
 * @param status the HTTP status code
 * @param body the body as text
 */
public record HttpResponse(int status, String body) {
  private static final int MIN_SUCCESS_STATUS = 200;
  private static final int MIN_REDIRECT_STATUS = 300;

  /**
   * Checks that the body is present.
   *
   * @throws NullPointerException if {@code body} is missing
   */
  public HttpResponse {
    Objects.requireNonNull(body, "body");
  }

  /** Returns whether the status is 200 to 299. */
  public boolean isSuccess() {
    return status >= MIN_SUCCESS_STATUS && status < MIN_REDIRECT_STATUS;
  }
}
