package io.jacinthquay.testkit.engine;

import java.util.Objects;

/**
 * A request that a fake engine ran.
 *
 * @param requestId the id of the request
 * @param body the body as it arrived
 * @param headers the names and values of its headers, one per line
 * @param priority its priority
 * @param firstToken the number of the first requested token; 0 unless it resumed a response
 * @param sentTokens the number of tokens sent
 * @param complete whether the response was sent completely
 */
public record EngineRun(
    String requestId,
    String body,
    String headers,
    int priority,
    int firstToken,
    int sentTokens,
    boolean complete) {
  /**
   * Checks that all components are present.
   *
   * @throws NullPointerException if a component is null
   */
  public EngineRun {
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(body, "body");
    Objects.requireNonNull(headers, "headers");
  }
}
