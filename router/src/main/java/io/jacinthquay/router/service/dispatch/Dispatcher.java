package io.jacinthquay.router.service.dispatch;

import io.jacinthquay.decision.retry.FailedAttempt;
import io.jacinthquay.decision.retry.RetryDecision;
import io.jacinthquay.model.RequestId;

/** Decides when and where requests run. */
public interface Dispatcher {
  /** Submits a request; its listener receives one grant or one refusal, possibly at once. */
  void submit(DispatchRequest request, DispatchListener listener);

  /** Cancels a waiting request, because its caller disconnected or its deadline passed. */
  void cancel(RequestId id);

  /** Records the first token of an attempt, or the first byte of a plain answer. */
  void recordFirstToken(Grant grant);

  /**
   * Records further output tokens of an attempt.
   *
   * @param count number of tokens since the last call, 1 or more
   */
  void recordTokens(Grant grant, int count);

  /**
   * Records how many prompt tokens the upstream found in its cache.
   *
   * @param tokens number of cached tokens, 0 or more
   */
  void recordCachedTokens(Grant grant, int tokens);

  /** Records the end of an attempt and releases its slot. */
  void recordEnd(Grant grant, AttemptReport report);

  /**
   * Records that a preempted attempt was stopped; the listener receives another grant or refusal.
   *
   * @param remainingTokens tokens that are still to be processed, including the prompt
   */
  void recordPreemption(Grant grant, AttemptReport report, long remainingTokens);

  /** Decides whether to retry after a failed attempt; {@link #recordEnd} must be called before. */
  RetryDecision decideRetry(DispatchRequest request, FailedAttempt attempt);
}
