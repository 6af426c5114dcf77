package io.jacinthquay.decision.retry;

import io.jacinthquay.decision.retry.RetryDecision.GiveUp;
import io.jacinthquay.decision.retry.RetryDecision.Resume;
import io.jacinthquay.decision.retry.RetryDecision.Retry;
import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.ResultCode;
import java.util.SplittableRandom;

/**
 * Decides whether to retry, resume or give up after a failed attempt.
 *
 * <pre>{@code
 * RetryDecision decision = policy.decide(attempt, budget, now, random);
 * }</pre>
 *
 * <p>A request that is not idempotent is retried only if no byte of it was written. No request is
 * retried past its deadline, beyond {@link #MAX_ATTEMPTS} or beyond the retry budget. An answer
 * that has started is resumed if the request is idempotent and the stream is resumable, and is
 * given up otherwise.
 */
public final class RetryPolicy {
  /** Most attempts for one request. */
  public static final int MAX_ATTEMPTS = 3;

  /** Mean backoff before the first retry, in nanoseconds; doubles with each further retry. */
  public static final long BASE_DELAY_NANOS = 10_000_000;

  /**
   * Returns the decision for a failed attempt.
   *
   * @param attempt the facts of the failed attempt
   * @param budget the retry budget of the pool, also used for resumptions
   * @param nowNanos the time on the router's monotonic clock, in nanoseconds
   * @param random the source of random delays
   */
  public RetryDecision decide(
      FailedAttempt attempt, RetryBudget budget, long nowNanos, SplittableRandom random) {
    if (!mayRetry(attempt)) {
      return giveUp(attempt, attempt.code());
    }
    long delay = backoffNanos(attempt, random);
    boolean tooLate = nowNanos + delay + attempt.neededNanos() - attempt.deadlineNanos() > 0;
    if (tooLate || attempt.attempts() >= MAX_ATTEMPTS) {
      return giveUp(attempt, attempt.code());
    }
    if (!budget.tryTake(nowNanos)) {
      return giveUp(attempt, ResultCode.RETRY_BUDGET_SPENT);
    }
    return attempt.answerStarted()
        ? new Resume(attempt.deliveredTokens(), delay)
        : new Retry(delay);
  }

  private static boolean mayRetry(FailedAttempt attempt) {
    if (attempt.answerStarted()) {
      return attempt.idempotent() && attempt.resumable();
    }
    return attempt.idempotent() || !attempt.bytesWritten();
  }

  /**
   * Returns the backoff; 0 if no byte was written, as after a failed connect, or to resume an
   * answer.
   */
  private static long backoffNanos(FailedAttempt attempt, SplittableRandom random) {
    if (!attempt.bytesWritten() || attempt.answerStarted()) {
      return 0;
    }
    long mean = BASE_DELAY_NANOS << Math.min(attempt.attempts() - 1, MAX_ATTEMPTS);
    return mean / 2 + random.nextLong(mean);
  }

  private static GiveUp giveUp(FailedAttempt attempt, ResultCode code) {
    return new GiveUp(code, outcome(attempt));
  }

  private static Outcome outcome(FailedAttempt attempt) {
    if (attempt.answerStarted() || attempt.deliveredTokens() > 0) {
      return Outcome.RAN;
    }
    boolean provenNotRun = !attempt.bytesWritten() || attempt.refused();
    return provenNotRun && !attempt.earlierMayHaveRun() ? Outcome.NOT_RUN : Outcome.UNKNOWN;
  }
}
