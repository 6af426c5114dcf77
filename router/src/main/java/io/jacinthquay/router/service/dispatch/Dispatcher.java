package io.jacinthquay.router.service.dispatch;

import io.jacinthquay.decision.retry.FailedAttempt;
import io.jacinthquay.decision.retry.RetryDecision;
import io.jacinthquay.model.RequestId;

/** Decides when and where requests run. */
public interface Dispatcher {
  /** Takes in a request; its job hears of one grant or one refusal, now or later. */
  void submit(DispatchRequest request, Job job);

  /** Forgets a request that waits, because its caller went away or its time ran out. */
  void withdraw(RequestId id);

  /** Records the first token of an attempt, or the first byte of a plain answer. */
  void firstToken(Grant grant);

  /**
   * Records further tokens of an attempt.
   *
   * @param count tokens since the last call, 1 or more
   */
  void tokens(Grant grant, int count);

  /**
   * Records how many prompt tokens the upstream had cached.
   *
   * @param tokens 0 or more
   */
  void cachedTokens(Grant grant, int tokens);

  /** Records the end of an attempt and gives its slot back. */
  void finished(Grant grant, AttemptReport report);

  /**
   * Records that a preempted attempt was stopped; the job hears of another grant or refusal.
   *
   * @param remainingTokens tokens still expected, the prompt included
   */
  void preempted(Grant grant, AttemptReport report, long remainingTokens);

  /** Decides what follows a failed attempt; call {@link #finished} before. */
  RetryDecision afterFailure(DispatchRequest request, FailedAttempt attempt);
}
