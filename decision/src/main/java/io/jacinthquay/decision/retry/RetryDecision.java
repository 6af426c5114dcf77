package io.jacinthquay.decision.retry;

import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.ResultCode;

/** What to do after an attempt failed. */
public sealed interface RetryDecision {
  /**
   * Sends the whole request to another upstream.
   *
   * @param delayNanos delay before the attempt, in nanoseconds, 0 or more
   */
  record Retry(long delayNanos) implements RetryDecision {}

  /**
   * Continues the answer on another upstream.
   *
   * @param fromToken tokens already passed to the caller, which the upstream must not repeat
   * @param delayNanos delay before the attempt, in nanoseconds, 0 or more
   */
  record Resume(int fromToken, long delayNanos) implements RetryDecision {}

  /**
   * Reports the failure to the caller.
   *
   * @param code the result code
   * @param outcome whether the request ran, as far as known
   */
  record GiveUp(ResultCode code, Outcome outcome) implements RetryDecision {}
}
