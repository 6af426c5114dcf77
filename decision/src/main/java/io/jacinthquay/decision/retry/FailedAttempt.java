package io.jacinthquay.decision.retry;

import io.jacinthquay.model.ResultCode;
import java.util.Objects;

/**
 * The facts of a failed attempt.
 *
 * @param code result code of the failure
 * @param idempotent whether the route allows the request to run more than once
 * @param resumable whether another upstream can continue the answer from a given token
 * @param bytesWritten whether any byte of the request was written to the upstream
 * @param refused whether the upstream's answer proves that it didn't run the request
 * @param earlierMayHaveRun whether an earlier attempt of the same request may have run
 * @param answerStarted whether any byte of the answer has been passed to the caller
 * @param deliveredTokens complete tokens passed to the caller in all attempts, 0 or more
 * @param attempts attempts so far, including this one, at least 1
 * @param deadlineNanos deadline of the whole exchange, on the router's monotonic clock
 * @param neededNanos least time that a useful further attempt takes, in nanoseconds, 0 or more
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
      throw new IllegalArgumentException(
          "deliveredTokens and neededNanos must not be negative and attempts must be 1 or more");
    }
  }
}
