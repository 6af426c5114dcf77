package io.jacinthquay.decision.retry;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

/**
 * Tests the shared retry budget with routers that are partitioned, paused, resumed and killed,
 * alone or all together.
 */
class SharedRetryBudgetProperties {
  private static final long MILLI = 1_000_000L;
  private static final int STEP_MILLIS = 50;
  private static final int WINDOW_STEPS = 10_000 / STEP_MILLIS;
  private static final double RATIO = 0.2;
  private static final double EXTRA = 58;

  private enum Kind {
    QUIET,
    FAILING,
    KILL_ONE,
    KILL_ALL,
    PARTITION,
    HEAL,
    PAUSE,
    RESUME,
    NEW_LEADER
  }

  private record Action(Kind kind, int router, int millis) {}

  private static final class Router {
    SharedRetryBudget budget = new SharedRetryBudget(RATIO, EXTRA, 10_000 * MILLI);
    RouterCount count = new RouterCount();
    int killedAt = -WINDOW_STEPS;
    boolean partitioned;
    boolean paused;
  }

  private final List<Router> routers = new ArrayList<>();
  private final List<Integer> firstSends = new ArrayList<>();
  private final List<Integer> retriesPerStep = new ArrayList<>();
  private int leaderSince;
  private boolean failing;

  @Provide
  Arbitrary<List<Action>> actions() {
    return Combinators.combine(
            Arbitraries.of(Kind.values()),
            Arbitraries.integers().between(0, 74),
            Arbitraries.integers().between(50, 6_000))
        .as(Action::new)
        .list()
        .ofMinSize(5)
        .ofMaxSize(25);
  }

  @Property(tries = 400, seed = "41")
  void holdsInEveryWindow(
      @ForAll @IntRange(min = 1, max = 75) int size, @ForAll("actions") List<Action> actions) {
    routers.clear();
    firstSends.clear();
    retriesPerStep.clear();
    leaderSince = -1_000;
    failing = false;
    for (int i = 0; i < size; i++) {
      routers.add(new Router());
    }
    run(2_000);
    for (Action action : actions) {
      apply(action);
      run(action.millis());
    }
    int[] sends = firstSends.stream().mapToInt(n -> n).toArray();
    int[] retries = retriesPerStep.stream().mapToInt(n -> n).toArray();
    for (int from = 0; from + WINDOW_STEPS <= sends.length; from++) {
      int spent = Arrays.stream(retries, from, from + WINDOW_STEPS).sum();
      double allowed = RATIO * maxFirstSends(sends, from) + EXTRA;
      assertTrue(spent <= allowed, spent + " retries, allowed " + allowed + " from step " + from);
    }
  }

  /**
   * Returns the most first sends in the window, in the one half a window earlier or in the one
   * before.
   */
  private static int maxFirstSends(int[] sends, int from) {
    int maxFirstSends = 0;
    for (int halfWindows = 0; halfWindows <= 2; halfWindows++) {
      int begin = Math.max(0, from - halfWindows * WINDOW_STEPS / 2);
      maxFirstSends =
          Math.max(maxFirstSends, Arrays.stream(sends, begin, begin + WINDOW_STEPS).sum());
    }
    return maxFirstSends;
  }

  private void apply(Action action) {
    Router router = routers.get(action.router() % routers.size());
    switch (action.kind()) {
      case QUIET -> failing = false;
      case FAILING -> failing = true;
      case KILL_ONE -> kill(router);
      case KILL_ALL -> {
        routers.forEach(this::kill);
        leaderSince = firstSends.size();
      }
      case PARTITION -> router.partitioned = true;
      case HEAL -> router.partitioned = false;
      case PAUSE -> router.paused = true;
      case RESUME -> router.paused = false;
      default -> leaderSince = firstSends.size();
    }
  }

  /**
   * Kills a router unless it was killed within the last window; the platform doesn't kill a router
   * repeatedly within one.
   */
  private void kill(Router router) {
    if (firstSends.size() - router.killedAt >= WINDOW_STEPS) {
      router.killedAt = firstSends.size();
      router.budget = new SharedRetryBudget(RATIO, EXTRA, 10_000 * MILLI);
      router.count = new RouterCount();
    }
  }

  private void run(int millis) {
    for (int passed = 0; passed < millis; passed += STEP_MILLIS) {
      long now = firstSends.size() * STEP_MILLIS * MILLI;
      int sends = 0;
      int retries = 0;
      // After a leader change, the leader hears of a few routers in each step.
      int heard = Math.min(routers.size(), 1 + 4 * (firstSends.size() - leaderSince));
      for (Router router : routers) {
        if (router.paused) {
          continue;
        }
        if (!router.partitioned) {
          router.count.update(heard, now);
        }
        router.budget.sent(now);
        sends++;
        while (failing && router.budget.tryTake(router.count.value(now), now)) {
          retries++;
        }
      }
      firstSends.add(sends);
      retriesPerStep.add(retries);
    }
  }
}
