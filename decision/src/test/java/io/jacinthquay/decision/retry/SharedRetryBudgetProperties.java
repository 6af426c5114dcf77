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
 * alone, all together or in series, and with leaders that are absent or learn of routers slowly.
 */
class SharedRetryBudgetProperties {
  private static final long MILLI = 1_000_000L;
  private static final int STEP_MILLIS = 50;
  private static final long WINDOW_NANOS = 10_000 * MILLI;
  private static final int WINDOW_STEPS = 10_000 / STEP_MILLIS;
  private static final double RATIO = 0.2;
  private static final double EXTRA = 58;

  /** Time after which a leader no longer counts a silent router. */
  private static final int EXPIRY_STEPS = 6_000 / STEP_MILLIS;

  private static final int NEVER = -1_000_000;

  private enum Kind {
    QUIET,
    FAILING,
    KILL_ONE,
    KILL_ALL,
    PARTITION,
    HEAL,
    PAUSE,
    RESUME,
    KILL_IN_SERIES,
    PAUSE_LEADER,
    NEW_LEADER,
    NEW_LEADER_SLOWLY_FOUND
  }

  private static SharedRetryBudget newBudget(int step) {
    return new SharedRetryBudget(RATIO, EXTRA, WINDOW_NANOS, step * STEP_MILLIS * MILLI);
  }

  private record Action(Kind kind, int router, int millis) {}

  private static final class Router {
    SharedRetryBudget budget = newBudget(0);
    RouterCount count = new RouterCount(WINDOW_NANOS);
    int findsLeaderAt;
    int reportedAt = NEVER;
    boolean partitioned;
    boolean paused;

    void restart(int step) {
      budget = newBudget(step);
      count = new RouterCount(WINDOW_NANOS);
    }
  }

  private final List<Router> routers = new ArrayList<>();
  private final List<Integer> firstSends = new ArrayList<>();
  private final List<Integer> retriesPerStep = new ArrayList<>();
  private int leaderSince;
  private int seriesEnd;
  private int stepsBetweenSends;
  private boolean failing;

  @Provide
  Arbitrary<List<Action>> actions() {
    return Combinators.combine(
            Arbitraries.of(Kind.values()),
            Arbitraries.integers().between(0, 74),
            Arbitraries.integers().between(50, 15_000))
        .as(Action::new)
        .list()
        .ofMinSize(5)
        .ofMaxSize(25);
  }

  @Property(tries = 400, seed = "41")
  void holdsInEveryWindow(
      @ForAll @IntRange(min = 1, max = 75) int size,
      @ForAll @IntRange(min = 1, max = 40) int stepsBetweenSends,
      @ForAll("actions") List<Action> actions) {
    this.stepsBetweenSends = stepsBetweenSends;
    routers.clear();
    firstSends.clear();
    retriesPerStep.clear();
    leaderSince = 0;
    seriesEnd = 0;
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
    int now = firstSends.size();
    switch (action.kind()) {
      case QUIET -> failing = false;
      case FAILING -> failing = true;
      case KILL_ONE -> router.restart(now);
      case KILL_ALL -> {
        routers.forEach(r -> r.restart(now));
        electLeader(now, 0);
      }
      case KILL_IN_SERIES -> seriesEnd = now + action.millis() / STEP_MILLIS;
      case PARTITION -> router.partitioned = true;
      case HEAL -> router.partitioned = false;
      case PAUSE -> router.paused = true;
      case RESUME -> router.paused = false;
      case PAUSE_LEADER -> leaderSince = now + action.millis() / STEP_MILLIS;
      case NEW_LEADER -> electLeader(now + action.millis() / STEP_MILLIS, 1);
      default -> electLeader(now, 1 + action.router() % 10);
    }
  }

  /** Begins the term of a leader to which the routers report one after the other. */
  private void electLeader(int atStep, int stepsPerRouter) {
    leaderSince = atStep;
    for (int i = 0; i < routers.size(); i++) {
      routers.get(i).reportedAt = NEVER;
      routers.get(i).findsLeaderAt = atStep + i * stepsPerRouter;
    }
  }

  private void run(int millis) {
    for (int passed = 0; passed < millis; passed += STEP_MILLIS) {
      int step = firstSends.size();
      if (step < seriesEnd && step % 10 == 0) {
        routers.get(step / 10 % routers.size()).restart(step);
      }
      long now = step * STEP_MILLIS * MILLI;
      int sends = 0;
      int retries = 0;
      for (Router router : routers) {
        if (router.paused) {
          continue;
        }
        if (!router.partitioned && step >= leaderSince && step >= router.findsLeaderAt) {
          router.reportedAt = step;
          router.count.update(countedRouters(step), now);
        }
        if (step % stepsBetweenSends == 0) {
          router.budget.sent(now);
          sends++;
        }
        while (failing && router.budget.tryTake(router.count.share(now), now)) {
          retries++;
        }
      }
      firstSends.add(sends);
      retriesPerStep.add(retries);
    }
  }

  private int countedRouters(int step) {
    return (int) routers.stream().filter(r -> step - r.reportedAt <= EXPIRY_STEPS).count();
  }
}
