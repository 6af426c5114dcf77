package io.jacinthquay.router.port;

import java.util.Objects;
import java.util.Optional;

/**
 * The status of an idempotency claim.
 *
 * @param state whether the request may run
 * @param response the recorded response; present only if {@code state} is {@link State#DONE}
 */
public record ClaimStatus(State state, Optional<RecordedResponse> response) {
  /** Whether a request may run under an idempotency key. */
  public enum State {
    /** No request with this key has run; this one may run. */
    FRESH,
    /** Another request with this key is running. */
    IN_PROGRESS,
    /** A request with this key has run and its response is recorded. */
    DONE,
    /** An earlier request may or may not have run. */
    OUTCOME_UNKNOWN
  }

  /**
   * Checks that no component is missing.
   *
   * @throws NullPointerException if a component is null
   */
  public ClaimStatus {
    Objects.requireNonNull(state, "state");
    Objects.requireNonNull(response, "answer");
  }
}
