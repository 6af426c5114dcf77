package io.jacinthquay.decision.retry;

import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.ResultCode;

/** What to do after an attempt failed. */
public sealed interface RetryDecision {
  /**
   * Send the whole request to another upstream.
   *
   * @param delayNanos how long to wait before, in nanoseconds, 0 or more
   */
  record Retry(long delayNanos) implements RetryDecision {}

  /**
   * Continue the answer on another upstream.
   *
   * @param fromToken tokens already passed to the caller, which the upstream must not repeat
   * @param delayNanos how long to wait before, in nanoseconds, 0 or more
   */
  record Resume(int fromToken, long delayNanos) implements RetryDecision {}

  /**
   * Tell the caller that the request failed.
   *
   * @param code the numbered result
   * @param outcome whether the request had an effect, as far as known
   */
  record GiveUp(ResultCode code, Outcome outcome) implements RetryDecision {}
}
