package io.jacinthquay.decision.dispatch;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.decision.learning.RateUse;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Compares choices by learned rates with those by fixed rates under the same load. */
final class LearnedLoadTest {
  private static final int SECONDS = 20;

  private static boolean isDisturbed(long millis) {
    return millis >= 6_000 && millis < 14_000;
  }

  /** Domains of different speed, and demand that moves between them. */
  private static final RoutersReplay.Load WAVE =
      new RoutersReplay.Load() {
        @Override
        public double speed(int engine, long millis) {
          return engine % RoutersReplay.DOMAINS == 2 ? 1.7 : 0.7;
        }

        @Override
        public double requestsPerSecond(int domain, long millis) {
          return 55 * (1 + 0.55 * Math.sin(2 * Math.PI * (millis / 17_000.0 + 0.08 * domain)));
        }
      };

  /** Engines that are five times slower for seconds. */
  private static final RoutersReplay.Load SLOW_ENGINES =
      new RoutersReplay.Load() {
        @Override
        public double speed(int engine, long millis) {
          return engine < 3 && isDisturbed(millis) ? 0.2 : 1;
        }

        @Override
        public double requestsPerSecond(int domain, long millis) {
          return 60;
        }
      };

  private static RoutersReplay.Load failing(int engines, double share) {
    return new RoutersReplay.Load() {
      @Override
      public double failureShare(int engine, long millis) {
        return engine < engines && isDisturbed(millis) ? share : 0;
      }

      @Override
      public double requestsPerSecond(int domain, long millis) {
        return 55;
      }
    };
  }

  /**
   * Fails if the share of missed requests with learned rates exceeds the given part of the share
   * with fixed rates.
   */
  private static void assertFewerMissed(RoutersReplay.Load load, double most) {
    RoutersReplay.Result fixed = new RoutersReplay(load, false).run(SECONDS);
    RoutersReplay.Result learned = new RoutersReplay(load, true).run(SECONDS);
    String figures = "fixed: " + fixed + "; learned: " + learned;
    assertTrue(learned.missedShare() <= most * fixed.missedShare(), figures);
  }

  /** Guards against slow domains that get as much as fast ones, and idle fast ones. */
  @Test
  void useDomainsByTheirSpeed() {
    assertFewerMissed(WAVE, 0.6);
  }

  /** Guards against sending on to engines that have become slow. */
  @Test
  void avoidEnginesThatBecomeSlow() {
    assertFewerMissed(SLOW_ENGINES, 0.8);
  }

  /** Guards against an engine that fails at once and looks idle. */
  @Test
  void avoidGrayEngine() {
    assertFewerMissed(failing(1, 1), 0.8);
  }

  /** Guards against breakers that take a pool out of service that serves half of its requests. */
  @Test
  void keepSendingToPoolThatFailsInPart() {
    int fixed = servedByPoolThatFailsInPart(false);
    int learned = servedByPoolThatFailsInPart(true);
    String figures = "served of 2,000, fixed: " + fixed + "; learned: " + learned;
    assertTrue(learned >= 1_000 && learned > fixed, figures);
  }

  /** Returns how many of 2,000 requests in 8 s are served by 6 engines that fail 45 % of them. */
  private static int servedByPoolThatFailsInPart(boolean learns) {
    SplittableRandom random = new SplittableRandom(3);
    UpstreamSelector selector =
        new UpstreamSelector(
            TestRequests.LOCAL, 1.5, 5, random.split(), learns ? RateUse.PLACE : RateUse.NONE);
    selector.setPools(Map.of(TestRequests.ENGINES, TestRequests.engines(0)));
    selector.setListings(TestRequests.listings(TestRequests.ENGINES, 6), 0);
    int served = 0;
    for (int i = 0; i < 2_000; i++) {
      long now = i * 4 * TestRequests.MILLI;
      PoolRequest work = TestRequests.prompt(0, 500, random.nextLong(), 10, 500);
      Optional<UpstreamState> chosen = selector.choose(work, Set.of(), now);
      if (chosen.isPresent()) {
        boolean fails = random.nextDouble() < 0.45;
        SentRequest sending = selector.sent(chosen.get(), work, now);
        selector.recordEnd(
            sending, false, fails ? SendOutcome.FAILED : SendOutcome.SUCCEEDED, now + 1);
        served += fails ? 0 : 1;
      }
    }
    return served;
  }
}
