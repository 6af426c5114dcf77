package io.jacinthquay.decision.retry;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SharedRetryBudgetTest {
  private static final long WINDOW = 10_000_000_000L;
  private static final long STEP = 5_000_000L;

  /**
   * Every send fails and wants a repeat at every router, none of which hears of the others: the
   * repeats of any window stay within the budget of all together.
   */
  @ParameterizedTest
  @CsvSource({"1, 1", "9, 2", "75, 3", "300, 4"})
  void keepTheSharedBudgetInEveryWindow(int routers, long seed) {
    double ratio = 0.2;
    double extra = 58;
    Random random = new Random(seed);
    List<SharedRetryBudget> budgets = new ArrayList<>();
    for (int i = 0; i < routers; i++) {
      budgets.add(new SharedRetryBudget(ratio, extra, WINDOW));
    }
    int steps = 6_000;
    int[] firsts = new int[steps];
    int[] repeats = new int[steps];
    for (int step = 0; step < steps; step++) {
      boolean burst = (step / 1_000) % 2 == 0;
      for (int send = 0; send < (burst ? 2 : 1) && random.nextInt(3) == 0; send++) {
        SharedRetryBudget budget = budgets.get(random.nextInt(routers));
        budget.sent(step * STEP);
        firsts[step]++;
        repeats[step] += budget.tryTake(routers, step * STEP) ? 1 : 0;
        repeats[step] += budget.tryTake(routers, step * STEP) ? 1 : 0;
      }
    }
    int length = (int) (WINDOW / STEP);
    for (int from = 0; from + length <= steps; from += 7) {
      double allowed = ratio * sum(firsts, from, length) + extra;
      int spent = sum(repeats, from, length);
      assertTrue(spent <= allowed, spent + " repeats of " + allowed + " from step " + from);
    }
  }

  private static int sum(int[] values, int from, int length) {
    int sum = 0;
    for (int i = from; i < from + length; i++) {
      sum += values[i];
    }
    return sum;
  }

  @Test
  void refuseFiguresOutOfRange() {
    assertThrows(
        IllegalArgumentException.class, () -> new SharedRetryBudget(-1, 1, 10_000_000_000L));
    assertThrows(IllegalArgumentException.class, () -> new SharedRetryBudget(0.1, 1, 1));
  }
}
