package io.jacinthquay.decision.retry;

import io.jacinthquay.decision.retry.RetryDecision.GiveUp;
import io.jacinthquay.decision.retry.RetryDecision.Resume;
import io.jacinthquay.decision.retry.RetryDecision.Retry;
import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.ResultCode;
import java.util.SplittableRandom;

/**
 * Decides what follows a failed attempt.
 *
 * <pre>{@code
 * RetryDecision decision = policy.decide(attempt, budget, now, random);
 * }</pre>
 *
 * <p>A request that is not idempotent is sent again only while no byte of it was written. Nothing
 * is sent again past its deadline, beyond {@link #MAX_ATTEMPTS} or beyond the budget. An answer
 * that has started is resumed if its stream can be, and is otherwise given up.
 */
public final class RetryPolicy {
  /** Most attempts for one request. */
  public static final int MAX_ATTEMPTS = 3;

  /** Mean delay before the first retry, in nanoseconds; doubles with each further one. */
  public static final long BASE_DELAY_NANOS = 10_000_000;

  /**
   * Returns what to do.
   *
   * @param attempt the facts of the failed attempt
   * @param budget the budget of the pool, from which a retry or resumption takes
   * @param nowNanos the time on the router's monotonic clock, in nanoseconds
   * @param random the source of random delays
   */
  public RetryDecision decide(
      FailedAttempt attempt, RetryBudget budget, long nowNanos, SplittableRandom random) {
    if (!maySendAgain(attempt)) {
      return giveUp(attempt, attempt.code());
    }
    long delay = delay(attempt, random);
    boolean late = nowNanos + delay + attempt.neededNanos() - attempt.deadlineNanos() > 0;
    if (late || attempt.attempts() >= MAX_ATTEMPTS) {
      return giveUp(attempt, attempt.code());
    }
    if (!budget.tryTake(nowNanos)) {
      return giveUp(attempt, ResultCode.RETRY_BUDGET_SPENT);
    }
    return attempt.answerStarted()
        ? new Resume(attempt.deliveredTokens(), delay)
        : new Retry(delay);
  }

  private static boolean maySendAgain(FailedAttempt attempt) {
    if (attempt.answerStarted()) {
      return attempt.idempotent() && attempt.resumable();
    }
    return attempt.idempotent() || !attempt.bytesWritten();
  }

  /** A connection that could not be opened is tried elsewhere at once. */
  private static long delay(FailedAttempt attempt, SplittableRandom random) {
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
    boolean proven = !attempt.bytesWritten() || attempt.refused();
    return proven && !attempt.earlierMayHaveRun() ? Outcome.NOT_RUN : Outcome.UNKNOWN;
  }
}
