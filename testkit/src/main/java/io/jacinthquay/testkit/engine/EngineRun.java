package io.jacinthquay.testkit.engine;

import java.util.Objects;

/**
 * One request that a fake engine ran.
 *
 * @param requestId the request
 * @param body the body as it arrived
 * @param headers the names and values of its headers, one per line
 * @param priority its priority
 * @param firstToken the first token that was asked for, 0 unless it continued an answer
 * @param sentTokens tokens that were sent
 * @param whole whether the whole answer was sent
 */
public record EngineRun(
    String requestId,
    String body,
    String headers,
    int priority,
    int firstToken,
    int sentTokens,
    boolean whole) {
  /**
   * Checks that all parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public EngineRun {
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(body, "body");
    Objects.requireNonNull(headers, "headers");
  }
}
