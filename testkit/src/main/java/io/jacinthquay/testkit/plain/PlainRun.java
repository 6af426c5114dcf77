package io.jacinthquay.testkit.plain;

import java.util.Objects;

/**
 * A request that a fake plain service ran.
 *
 * @param requestId the id of the request
 * @param method the HTTP method
 * @param target the path and query
 * @param headers the names and values of its headers, one per line
 * @param body the body as it arrived
 */
public record PlainRun(
    String requestId, String method, String target, String headers, String body) {
  /**
   * Checks that all components are present.
   *
   * @throws NullPointerException if a component is null
   */
  public PlainRun {
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(method, "method");
    Objects.requireNonNull(target, "target");
    Objects.requireNonNull(headers, "headers");
    Objects.requireNonNull(body, "body");
  }
}
