package io.jacinthquay.testkit.plain;

import java.util.Objects;

/**
 * One request that a fake plain service ran.
 *
 * @param requestId the request
 * @param method HTTP method
 * @param target path and query
 * @param headers the names and values of its headers, one per line
 * @param body the body as it arrived
 */
public record PlainRun(
    String requestId, String method, String target, String headers, String body) {
  /**
   * Checks that all parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public PlainRun {
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(target, "target");
    Objects.requireNonNull(headers, "headers");
    Objects.requireNonNull(body, "body");
  }
}
