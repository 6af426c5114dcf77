package io.jacinthquay.decision.retry;

import io.jacinthquay.model.ResultCode;
import java.util.Objects;

/**
 * The facts of an attempt that failed.
 *
 * @param code what went wrong
 * @param idempotent whether the route lets the request run more than once
 * @param resumable whether an answer can be continued on another upstream from a known token
 * @param bytesWritten whether any byte of the request was written to the upstream
 * @param refused whether the upstream's own answer proves that it ran nothing
 * @param earlierMayHaveRun whether an earlier attempt of the same request may have run
 * @param answerStarted whether any byte of the answer has been passed to the caller
 * @param deliveredTokens whole tokens passed to the caller over all attempts, 0 or more
 * @param attempts attempts so far, this one included, at least 1
 * @param deadlineNanos when the whole exchange must have ended, on the router's monotonic clock
 * @param neededNanos least time that another attempt needs to be of use, in nanoseconds, 0 or more
 */
public record FailedAttempt(
    ResultCode code,
    boolean idempotent,
    boolean resumable,
    boolean bytesWritten,
    boolean refused,
    boolean earlierMayHaveRun,
    boolean answerStarted,
    int deliveredTokens,
    int attempts,
    long deadlineNanos,
    long neededNanos) {
  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a number is out of range
   * @throws NullPointerException if {@code code} is missing
   */
  public FailedAttempt {
    Objects.requireNonNull(code, "code");
    if (deliveredTokens < 0 || attempts < 1 || neededNanos < 0) {
      throw new IllegalArgumentException("a failed attempt has a number out of range");
    }
  }
}
