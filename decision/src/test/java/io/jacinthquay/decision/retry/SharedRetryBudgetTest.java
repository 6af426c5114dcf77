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
   * Every send fails and asks for retries, and routers don't communicate: the retries in any window
   * must stay within the shared budget.
   */
  @ParameterizedTest
  @CsvSource({"1, 1", "9, 2", "75, 3", "300, 4"})
  void keepTheSharedBudgetInEveryWindow(int routers, long seed) {
    double ratio = 0.2;
    double extra = 58;
    Random random = new Random(seed);
    List<SharedRetryBudget> budgets = new ArrayList<>();
    for (int i = 0; i < routers; i++) {
      budgets.add(new SharedRetryBudget(ratio, extra, WINDOW, 0));
    }
    int steps = 6_000;
    int[] firstSends = new int[steps];
    int[] retries = new int[steps];
    for (int step = 0; step < steps; step++) {
      boolean burst = (step / 1_000) % 2 == 0;
      for (int send = 0; send < (burst ? 2 : 1) && random.nextInt(3) == 0; send++) {
        SharedRetryBudget budget = budgets.get(random.nextInt(routers));
        budget.sent(step * STEP);
        firstSends[step]++;
        retries[step] += budget.tryTake(1.0 / routers, step * STEP) ? 1 : 0;
        retries[step] += budget.tryTake(1.0 / routers, step * STEP) ? 1 : 0;
      }
    }
    int length = (int) (WINDOW / STEP);
    for (int from = 0; from + length <= steps; from += 7) {
      double allowed = ratio * sum(firstSends, from, length) + extra;
      int spent = sum(retries, from, length);
      assertTrue(spent <= allowed, spent + " retries, allowed " + allowed + " from step " + from);
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
  void rejectNumbersOutOfRange() {
    assertThrows(
        IllegalArgumentException.class, () -> new SharedRetryBudget(-1, 1, 10_000_000_000L, 0));
    assertThrows(IllegalArgumentException.class, () -> new SharedRetryBudget(0.1, 1, 1, 0));
  }
}
