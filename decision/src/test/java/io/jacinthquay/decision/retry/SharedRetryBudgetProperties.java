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
 * The retry budget of routers that are cut off, paused, thawed and killed, alone or all at once.
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
    CUT,
    HEAL,
    PAUSE,
    THAW,
    NEW_LEADER
  }

  private record Action(Kind kind, int router, int millis) {}

  private static final class Router {
    SharedRetryBudget budget = new SharedRetryBudget(RATIO, EXTRA, 10_000 * MILLI);
    RouterCount count = new RouterCount();
    int killedAt = -WINDOW_STEPS;
    boolean cut;
    boolean paused;
  }

  private final List<Router> routers = new ArrayList<>();
  private final List<Integer> firsts = new ArrayList<>();
  private final List<Integer> repeats = new ArrayList<>();
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
    firsts.clear();
    repeats.clear();
    leaderSince = -1_000;
    failing = false;
    for (int i = 0; i < size; i++) {
      routers.add(new Router());
    }
    run(2_000);
    for (Action action : actions) {
      take(action);
      run(action.millis());
    }
    int[] first = firsts.stream().mapToInt(n -> n).toArray();
    int[] repeat = repeats.stream().mapToInt(n -> n).toArray();
    for (int from = 0; from + WINDOW_STEPS <= first.length; from++) {
      int spent = Arrays.stream(repeat, from, from + WINDOW_STEPS).sum();
      double allowed = RATIO * most(first, from) + EXTRA;
      assertTrue(spent <= allowed, spent + " repeats of " + allowed + " from step " + from);
    }
  }

  /** First sends of the window, of the one before or of the one half before, as users count. */
  private static int most(int[] first, int from) {
    int most = 0;
    for (int back = 0; back <= 2; back++) {
      int begin = Math.max(0, from - back * WINDOW_STEPS / 2);
      most = Math.max(most, Arrays.stream(first, begin, begin + WINDOW_STEPS).sum());
    }
    return most;
  }

  private void take(Action action) {
    Router router = routers.get(action.router() % routers.size());
    switch (action.kind()) {
      case QUIET -> failing = false;
      case FAILING -> failing = true;
      case KILL_ONE -> kill(router);
      case KILL_ALL -> {
        routers.forEach(this::kill);
        leaderSince = firsts.size();
      }
      case CUT -> router.cut = true;
      case HEAL -> router.cut = false;
      case PAUSE -> router.paused = true;
      case THAW -> router.paused = false;
      default -> leaderSince = firsts.size();
    }
  }

  /** A router that was just killed stays: the platform's days don't kill one over and over. */
  private void kill(Router router) {
    if (firsts.size() - router.killedAt >= WINDOW_STEPS) {
      router.killedAt = firsts.size();
      router.budget = new SharedRetryBudget(RATIO, EXTRA, 10_000 * MILLI);
      router.count = new RouterCount();
    }
  }

  private void run(int millis) {
    for (int passed = 0; passed < millis; passed += STEP_MILLIS) {
      long now = firsts.size() * STEP_MILLIS * MILLI;
      int first = 0;
      int repeat = 0;
      // A leader hears of a few routers in each step after it took over.
      int heard = Math.min(routers.size(), 1 + 4 * (firsts.size() - leaderSince));
      for (Router router : routers) {
        if (router.paused) {
          continue;
        }
        if (!router.cut) {
          router.count.told(heard, now);
        }
        router.budget.sent(now);
        first++;
        while (failing && router.budget.tryTake(router.count.value(now), now)) {
          repeat++;
        }
      }
      firsts.add(first);
      repeats.add(repeat);
    }
  }
}
