package io.jacinthquay.decision.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.decision.retry.RetryDecision.GiveUp;
import io.jacinthquay.decision.retry.RetryDecision.Resume;
import io.jacinthquay.decision.retry.RetryDecision.Retry;
import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.ResultCode;
import java.util.SplittableRandom;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryProperties {
  private static final long SECOND = 1_000_000_000L;
  private static final int LONG_OUTAGE_SECONDS = 20;
  private static final long NOW = 100 * SECOND;

  @Provide
  Arbitrary<FailedAttempt> attempts() {
    Arbitrary<Boolean> flag = Arbitraries.of(true, false);
    return Combinators.combine(
            Combinators.combine(flag, flag, flag, flag, flag, flag)
                .as((a, b, c, d, e, f) -> new boolean[] {a, b, c, d, e, f}),
            Arbitraries.integers().between(0, 50),
            Arbitraries.integers().between(1, 5),
            Arbitraries.longs().between(-2 * SECOND, 2 * SECOND),
            Arbitraries.longs().between(0, SECOND))
        .as(
            (flags, tokens, tries, slack, needed) ->
                new FailedAttempt(
                    ResultCode.UPSTREAM_BROKE,
                    flags[0],
                    flags[1],
                    flags[2] || flags[5] && tokens > 0,
                    flags[3],
                    flags[4],
                    flags[5] && tokens > 0,
                    flags[5] ? tokens : 0,
                    tries,
                    NOW + slack,
                    needed));
  }

  @Property(seed = "411", tries = 3000)
  void retriesAndResumesOnlyWhereAllowed(@ForAll("attempts") FailedAttempt attempt) {
    RetryBudget budget = new RetryBudget();
    RetryDecision decision =
        new RetryPolicy().decide(attempt, budget, NOW, new SplittableRandom(1));
    if (decision instanceof GiveUp) {
      return;
    }
    assertTrue(attempt.idempotent() || !attempt.bytesWritten(), "not idempotent, sent twice");
    assertTrue(attempt.deadlineNanos() - attempt.neededNanos() >= NOW, "past the deadline");
    assertTrue(attempt.attempts() < RetryPolicy.MAX_ATTEMPTS, "too many attempts");
    if (decision instanceof Resume resume) {
      assertEquals(attempt.deliveredTokens(), resume.fromToken());
      assertTrue(attempt.resumable());
    } else {
      assertFalse(
          attempt.answerStarted(), "an answer that had started was retried from the beginning");
    }
  }

  @Property(seed = "412", tries = 3000)
  void reportsNotRunOnlyWhenProven(@ForAll("attempts") FailedAttempt attempt) {
    RetryDecision decision =
        new RetryPolicy().decide(attempt, new RetryBudget(), NOW, new SplittableRandom(1));
    if (decision instanceof GiveUp giveUp && giveUp.outcome() == Outcome.NOT_RUN) {
      assertFalse(attempt.earlierMayHaveRun());
      assertFalse(attempt.answerStarted());
      assertTrue(!attempt.bytesWritten() || attempt.refused());
    }
  }

  @Property(seed = "413", tries = 60)
  void budgetHoldsDuringAnOutage(
      @ForAll @IntRange(min = 5, max = 400) int rate,
      @ForAll @IntRange(min = 0, max = 60) int healthySeconds,
      @ForAll @IntRange(min = 1, max = 60) int outageSeconds,
      @ForAll @DoubleRange(min = 0, max = 0.2) double failing) {
    checkBudget(rate, healthySeconds, outageSeconds, failing);
  }

  @ParameterizedTest
  @CsvSource({"400, 30, 2", "50, 20, 1", "400, 30, 60"})
  void budgetHoldsFromTheFirstSecond(int rate, int healthySeconds, int outageSeconds) {
    checkBudget(rate, healthySeconds, outageSeconds, 0);
  }

  private static void checkBudget(int rate, int healthySeconds, int outageSeconds, double failing) {
    RetryBudget budget = new RetryBudget();
    SplittableRandom random = new SplittableRandom(rate);
    long requests = 0;
    long retries = 0;
    for (int i = 0; i < rate * (healthySeconds + outageSeconds); i++) {
      long now = i * SECOND / rate;
      boolean outage = i >= rate * healthySeconds;
      budget.requested();
      boolean fails = outage || random.nextDouble() < failing;
      if (!fails) {
        budget.succeeded(now);
      }
      requests += outage ? 1 : 0;
      for (int attempt = 1; fails && attempt < 3 && budget.tryTake(now); attempt++) {
        retries += outage ? 1 : 0;
        fails = outage;
      }
    }
    double allowed = RetryBudget.SHARE * requests;
    double burst = outageSeconds < LONG_OUTAGE_SECONDS ? RetryBudget.BURST : 1;
    assertTrue(retries <= allowed + burst, requests + " requests, " + retries + " retries");
  }

  @ParameterizedTest
  @CsvSource({"true, Retry", "false, GiveUp"})
  void retriesAFailureBeforeTheAnswerOnlyIfIdempotent(boolean idempotent, String expected) {
    FailedAttempt attempt = broken(idempotent, false, 0);
    RetryDecision decision =
        new RetryPolicy().decide(attempt, new RetryBudget(), NOW, new SplittableRandom(1));
    assertEquals(expected, decision.getClass().getSimpleName());
  }

  @ParameterizedTest
  @CsvSource({"1", "17"})
  void resumesABrokenStreamAfterTheDeliveredTokens(int delivered) {
    RetryDecision decision =
        new RetryPolicy()
            .decide(broken(true, true, delivered), new RetryBudget(), NOW, new SplittableRandom(1));
    assertEquals(new Resume(delivered, 0), decision);
  }

  @ParameterizedTest
  @CsvSource({"true", "false"})
  void retriesAFailedConnectEvenIfNotIdempotent(boolean idempotent) {
    FailedAttempt attempt =
        new FailedAttempt(
            ResultCode.UPSTREAM_UNREACHABLE,
            idempotent,
            false,
            false,
            false,
            false,
            false,
            0,
            1,
            NOW + SECOND,
            0);
    RetryDecision decision =
        new RetryPolicy().decide(attempt, new RetryBudget(), NOW, new SplittableRandom(1));
    assertInstanceOf(Retry.class, decision);
  }

  private static FailedAttempt broken(boolean idempotent, boolean started, int delivered) {
    return new FailedAttempt(
        ResultCode.UPSTREAM_BROKE,
        idempotent,
        true,
        true,
        false,
        false,
        started,
        delivered,
        1,
        NOW + SECOND,
        0);
  }
}
