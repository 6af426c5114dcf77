package io.jacinthquay.router.port;

import java.util.Objects;
import java.util.Optional;

/**
 * What is known of an idempotency key.
 *
 * @param state whether the request may run
 * @param answer the recorded answer; present only where {@code state} is {@link State#DONE}
 */
public record ClaimStanding(State state, Optional<RecordedAnswer> answer) {
  /** Whether a request may run. */
  public enum State {
    /** The caller may send the request: nobody has. */
    FRESH,
    /** Another request with this key runs. */
    IN_PROGRESS,
    /** The result is recorded. */
    DONE,
    /** An earlier request may or may not have run. */
    OUTCOME_UNKNOWN
  }

  /**
   * Checks that both parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public ClaimStanding {
    Objects.requireNonNull(state, "state");
    Objects.requireNonNull(answer, "answer");
  }
}
