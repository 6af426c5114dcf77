package io.jacinthquay.decision.retry;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * The shared retry budget holds while callers move from some routers to others. Otherwise those
 * that lose requests and those that get them spend the budget of the same callers in one window.
 */
final class MovingRequestsTest {
  private static final int STEP_MILLIS = 50;
  private static final long STEP_NANOS = 1_000_000L * STEP_MILLIS;
  private static final long WINDOW_NANOS = 10_000_000_000L;
  private static final int WINDOW_STEPS = 10_000 / STEP_MILLIS;
  private static final double RATIO = 0.2;
  private static final double EXTRA = 58;
  private static final int SEEDS = 1_500;

  /** Routers whose sends all fail and are retried as often as the budget allows. */
  private static final class Routers {
    private final List<SharedRetryBudget> budgets = new ArrayList<>();
    private final List<RouterCount> counts = new ArrayList<>();
    private final int[] firstSends;
    private final int[] retries;
    private double due;
    private int next;
    private int step;

    Routers(int size, int steps) {
      firstSends = new int[steps];
      retries = new int[steps];
      for (int i = 0; i < size; i++) {
        budgets.add(newBudget());
        counts.add(new RouterCount(WINDOW_NANOS));
      }
    }

    private long now() {
      return step * STEP_NANOS;
    }

    private SharedRetryBudget newBudget() {
      return new SharedRetryBudget(RATIO, EXTRA, WINDOW_NANOS, now());
    }

    void restart(int router) {
      budgets.set(router, newBudget());
      counts.set(router, new RouterCount(WINDOW_NANOS));
    }

    /** Lets callers send to some routers for one step. */
    void run(int firstRouter, int used, int sendsPerSecond, boolean failing) {
      long now = now();
      counts.forEach(count -> count.update(counts.size(), now));
      due += sendsPerSecond * STEP_MILLIS / 1_000.0;
      for (; due >= 1; due--) {
        budgets.get((firstRouter + next % used) % budgets.size()).sent(now);
        next++;
        firstSends[step]++;
      }
      for (int i = 0; failing && i < budgets.size(); i++) {
        while (budgets.get(i).tryTake(counts.get(i).share(now), now)) {
          retries[step]++;
        }
      }
      step++;
    }

    /** Judges each window as the budget is stated, from the one that begins at a step on. */
    void assertBudgetHolds(int firstWindow, String name) {
      for (int from = firstWindow; from + WINDOW_STEPS <= retries.length; from++) {
        int spent = sum(retries, from);
        int most =
            Math.max(
                sum(firstSends, from),
                Math.max(
                    sum(firstSends, from - WINDOW_STEPS / 2),
                    sum(firstSends, from - WINDOW_STEPS)));
        double allowed = RATIO * most + EXTRA;
        assertTrue(
            spent <= allowed,
            name + ": " + spent + " retries, allowed " + allowed + " from step " + from);
      }
    }

    private static int sum(int[] values, int from) {
      return Arrays.stream(values, from, from + WINDOW_STEPS).sum();
    }
  }

  /** All upstreams begin to fail just before the callers move to the other routers. */
  @ParameterizedTest
  @CsvSource({"9, 6, 50", "9, 5, 100", "9, 3, 200", "6, 3, 50", "2, 1, 400"})
  void callersOfSomeRoutersMoveToTheOthers(int routers, int left, int sendsPerSecond) {
    int moveStep = 3 * WINDOW_STEPS;
    Routers all = new Routers(routers, 6 * WINDOW_STEPS);
    for (int step = 0; step < 6 * WINDOW_STEPS; step++) {
      boolean moved = step >= moveStep;
      all.run(
          moved ? left : 0, moved ? routers - left : left, sendsPerSecond, step >= moveStep - 1);
    }
    all.assertBudgetHolds(WINDOW_STEPS, left + " of " + routers);
  }

  /** Callers move, send more or less, routers restart, and upstreams fail, at random times. */
  @Test
  void callersMoveAgainAndAgain() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      int size = 1 + random.nextInt(12);
      int sendsPerSecond = 5 + random.nextInt(400);
      int steps = 8 * WINDOW_STEPS;
      Routers routers = new Routers(size, steps);
      int firstRouter = 0;
      int used = size;
      int nextChange = 0;
      boolean failing = false;
      for (int step = 0; step < steps; step++) {
        if (step >= nextChange) {
          nextChange = step + 10 + random.nextInt(300);
          firstRouter = random.nextInt(size);
          used = 1 + random.nextInt(size);
          failing = random.nextBoolean();
          if (random.nextInt(4) == 0) {
            routers.restart(random.nextInt(size));
          }
          if (random.nextInt(3) == 0) {
            sendsPerSecond = 5 + random.nextInt(400);
          }
        }
        routers.run(firstRouter, used, sendsPerSecond, failing);
      }
      routers.assertBudgetHolds(WINDOW_STEPS, "seed " + seed);
    }
  }
}
