package io.jacinthquay.decision.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

final class RouterCountTest {
  private static final long SECOND = 1_000_000_000L;

  private static final long WINDOW = 10 * SECOND;

  private final RouterCount count = new RouterCount(WINDOW);

  /** Reports a count once a second, from one second to another, inclusively. */
  private void report(int routers, int fromSecond, int untilSecond) {
    for (long second = fromSecond; second <= untilSecond; second++) {
      count.update(routers, second * SECOND);
    }
  }

  @Test
  void countOnlyItselfButShareNothingBeforeTheFirstReport() {
    assertEquals(1, count.value(5 * SECOND));
    assertEquals(0, count.share(50 * SECOND));
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

  @Test
  void shareNothingUntilReportsHaveComeForAWindow() {
    report(4, 0, 9);
    assertEquals(0, count.share(10 * SECOND - 1));
    assertEquals(0.25, count.share(10 * SECOND));
  }

  /** A new leader has heard of only a few routers. */
  @Test
  void useALowerCountOnlyAfterTwoWindows() {
    report(9, 0, 4);
    report(1, 5, 6);
    report(3, 7, 25);
    assertEquals(9, count.value(25 * SECOND));
    report(2, 26, 26);
    assertEquals(3, count.value(26 * SECOND));
  }

  @Test
  void higherCountBetweenLowerOnesRestartsTheHoldTime() {
    report(9, 0, 4);
    report(3, 5, 20);
    report(9, 21, 21);
    report(3, 22, 42);
    assertEquals(9, count.value(42 * SECOND));
    report(3, 43, 43);
    assertEquals(3, count.value(43 * SECOND));
  }

  @Test
  void firstLowCountOfALeaderAfterALongTimeWithoutOneIsNotUsed() {
    report(9, 0, 20);
    report(1, 28, 28);
    assertEquals(9, count.value(28 * SECOND));
    assertEquals(1.0 / 9, count.share(28 * SECOND));
  }

  @Test
  void gapInTheReportsRestartsTheHoldTime() {
    report(9, 0, 4);
    report(3, 5, 15);
    report(3, 19, 39);
    assertEquals(9, count.value(39 * SECOND));
    report(3, 40, 40);
    assertEquals(3, count.value(40 * SECOND));
  }

  @Test
  void shareEndsOneWindowAfterTheLastReport() {
    report(4, 0, 20);
    assertEquals(0.25, count.share(30 * SECOND));
    assertEquals(0, count.share(30 * SECOND + 1));
    report(4, 31, 40);
    assertEquals(0, count.share(40 * SECOND));
    assertEquals(0.25, count.share(41 * SECOND));
  }

  @Test
  void rejectAWindowOfZero() {
    assertThrows(IllegalArgumentException.class, () -> new RouterCount(0));
  }
}
