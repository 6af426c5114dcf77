package io.jacinthquay.decision.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

final class RouterCountTest {
  private static final long SECOND = 1_000_000_000L;

  private final RouterCount count = new RouterCount();

  @Test
  void countOnlyItselfBeforeTheFirstReport() {
    assertEquals(1, count.value(5 * SECOND));
  }

  /** All processes start: the leader hears of the routers one by one. */
  @Test
  void allowAlmostNothingRightAfterTheStart() {
    for (int i = 1; i <= 9; i++) {
      count.update(i, i * SECOND / 20);
      assertTrue(count.value(i * SECOND / 20) >= 1_000);
    }
    assertEquals(9, count.value(2 * SECOND));
  }

  /** A new leader has heard of only a few routers. */
  @Test
  void useALowerCountOnlyAfterTheHoldTime() {
    count.update(9, 0);
    count.update(9, 4 * SECOND);
    count.update(1, 5 * SECOND);
    count.update(3, 5 * SECOND);
    assertEquals(9, count.value(5 * SECOND));
    count.update(9, 6 * SECOND);
    count.update(5, 11 * SECOND);
    assertEquals(9, count.value(11 * SECOND));
    count.update(5, 13 * SECOND);
    assertEquals(5, count.value(13 * SECOND));
  }
}
