package io.jacinthquay.decision.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against routers that keep a stated limit each by itself and exceed it together. */
final class StatedLimitTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long WINDOW_MILLIS = 4_000;
  private static final long PLAYED_MILLIS = 60_000;
  private static final long STEP_MILLIS = 10;

  /** Largest difference between the shared times of two routers, in milliseconds. */
  private static final long MAX_SKEW_MILLIS = 100;

  /** Time since the epoch, so that turns have the numbers that they have in operation. */
  private static final long EPOCH_NANOS = 1_796_000_000_000L * NANOS_PER_MILLI;

  private static int busiestWindow(List<Long> sends) {
    int highest = 0;
    int first = 0;
    for (int last = 0; last < sends.size(); last++) {
      while (sends.get(last) - sends.get(first) >= WINDOW_MILLIS) {
        first++;
      }
      highest = Math.max(highest, last - first + 1);
    }
    return highest;
  }

  private static List<StatedLimit> routers(int count, double perSecond, SplittableRandom random) {
    List<StatedLimit> routers = new ArrayList<>();
    for (int position = 0; position < count; position++) {
      long skewNanos = random.nextLong(MAX_SKEW_MILLIS * NANOS_PER_MILLI);
      StatedLimit limit = new StatedLimit(new RouterTurn(position, count, EPOCH_NANOS + skewNanos));
      limit.state(perSecond, 0);
      routers.add(limit);
    }
    return routers;
  }

  /**
   * Each router has requests at random moments: at all of them, or seldom, when unused turns must
   * not be saved up.
   */
  @ParameterizedTest
  @CsvSource({
    // routers, stated requests a second, share of moments with a request
    "1, 1.2, 1",
    "9, 0, 1",
    "9, 0.4, 1",
    "9, 1, 0.3",
    "9, 1.2, 1",
    "9, 1.3, 0.02",
    "9, 1.5, 1",
    "9, 20, 1",
    "9, 300, 1",
    "64, 1.2, 1",
    "95, 1.2, 1",
    "95, 1.2, 0.01",
    "95, 50, 0.1",
  })
  void routersKeepLimitTogether(int count, double perSecond, double share) {
    SplittableRandom random = new SplittableRandom(54);
    List<StatedLimit> routers = routers(count, perSecond, random);
    List<Long> sends = new ArrayList<>();
    for (long millis = 0; millis < PLAYED_MILLIS; millis += STEP_MILLIS) {
      long now = millis * NANOS_PER_MILLI;
      for (StatedLimit limit : routers) {
        while (random.nextDouble() < share && limit.allows(now)) {
          limit.take(now);
          sends.add(millis);
        }
      }
    }
    double allowed = 1.5 * WINDOW_MILLIS / 1_000 * perSecond + 5;
    int busiest = busiestWindow(sends);
    assertTrue(busiest <= allowed, busiest + " sends in 4 s, allowed " + allowed);
    double taken = perSecond * PLAYED_MILLIS / 1_000;
    boolean isBusy = share > 0.5;
    assertTrue(!isBusy || sends.size() >= 0.7 * taken, sends.size() + " of " + taken + " sends");
  }

  /** A change of the order of routers, of the limit or of both must not give turns again. */
  @ParameterizedTest
  @CsvSource({"9, 1.2, 50", "9, 1.2, 3000", "64, 2, 300"})
  void changesGiveNoTurnsAgain(int count, double perSecond, long everyMillis) {
    SplittableRandom random = new SplittableRandom(541);
    List<StatedLimit> routers = routers(count, perSecond, random);
    List<Long> sends = new ArrayList<>();
    for (long millis = 0; millis < PLAYED_MILLIS; millis += STEP_MILLIS) {
      long now = millis * NANOS_PER_MILLI;
      int present = count - (int) (millis / everyMillis % 2);
      for (int position = 0; position < present; position++) {
        StatedLimit limit = routers.get(position);
        limit.setTurn(new RouterTurn(position, present, EPOCH_NANOS), now);
        if (limit.allows(now)) {
          limit.take(now);
          sends.add(millis);
        }
      }
    }
    double allowed = 1.5 * WINDOW_MILLIS / 1_000 * perSecond + 5;
    int busiest = busiestWindow(sends);
    assertTrue(busiest <= allowed, busiest + " sends in 4 s, allowed " + allowed);
  }

  /**
   * Answers overtake each other: one that was sent for before the limit was stated ends nothing.
   */
  @Test
  void onlyLaterSendsEndLimit() {
    StatedLimit limit = new StatedLimit(RouterTurn.ALONE);
    limit.state(1, 1_000);
    assertFalse(limit.isEndedBy(999));
    assertTrue(limit.isEndedBy(1_001));
  }

  /** An upstream that takes nothing must be able to show that it takes requests again. */
  @Test
  void limitOfZeroAllowsFewRequests() {
    StatedLimit limit = new StatedLimit(RouterTurn.ALONE);
    limit.state(0, 0);
    assertEquals(0.1, limit.ownPerSecond());
    assertFalse(limit.allows(NANOS_PER_MILLI));
    assertTrue(limit.allows(11_000 * NANOS_PER_MILLI));
  }
}
