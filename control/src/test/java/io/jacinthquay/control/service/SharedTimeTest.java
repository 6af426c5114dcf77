package io.jacinthquay.control.service;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SharedTimeTest {
  private static final long MILLI = 1_000_000L;
  private static final long TRUE_MILLIS = 1_700_000_000_000L;

  private final AtomicLong monotonic = new AtomicLong(77 * MILLI);
  private final AtomicLong ownStep = new AtomicLong();
  private final SharedTime time =
      new SharedTime(monotonic::get, () -> trueMillis() + ownStep.get());

  private long trueMillis() {
    return TRUE_MILLIS + monotonic.get() / MILLI;
  }

  private void hear(int routers, int stepped, long step) {
    for (int i = 0; i < routers; i++) {
      time.heard("r" + i, trueMillis() + (i < stepped ? step : 0));
    }
  }

  /** Some clocks jump by seconds, the leader's among them. */
  @ParameterizedTest
  @CsvSource({"9,3,5000,0", "9,3,-5000,0", "9,4,5000,-3000", "75,37,9000,0", "3,1,-2000,2000"})
  void goWithTheMajority(int routers, int stepped, long step, long leaderStep) {
    ownStep.set(leaderStep);
    hear(routers, stepped, step);
    monotonic.addAndGet(500 * MILLI);
    assertEquals(trueMillis(), time.millis());
  }

  /** The leader's clock jumps between two reports of the routers. */
  @Test
  void holdAgainstAStepOfTheLeaderBetweenReports() {
    hear(9, 0, 0);
    ownStep.set(60_000);
    monotonic.addAndGet(40 * MILLI);
    assertEquals(trueMillis(), time.millis());
  }

  @Test
  void useTheOwnTimeAloneAndForgetSilentRouters() {
    assertEquals(trueMillis(), time.millis());
    hear(9, 9, 5_000);
    monotonic.addAndGet(7_000 * MILLI);
    time.heard("new", trueMillis());
    assertEquals(trueMillis(), time.millis());
  }
}
