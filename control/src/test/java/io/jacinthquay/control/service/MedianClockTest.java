package io.jacinthquay.control.service;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class MedianClockTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long TRUE_MILLIS = 1_700_000_000_000L;

  private final AtomicLong monotonic = new AtomicLong(77 * NANOS_PER_MILLI);
  private final AtomicLong ownStepMillis = new AtomicLong();
  private final MedianClock clock =
      new MedianClock(monotonic::get, () -> trueMillis() + ownStepMillis.get());

  private long trueMillis() {
    return TRUE_MILLIS + monotonic.get() / NANOS_PER_MILLI;
  }

  private void recordTimes(int routers, int stepped, long stepMillis) {
    for (int i = 0; i < routers; i++) {
      clock.recordTime("r" + i, trueMillis() + (i < stepped ? stepMillis : 0));
    }
  }

  /** A minority of the clocks is stepped by seconds, in some cases also the leader's. */
  @ParameterizedTest
  @CsvSource({"9,3,5000,0", "9,3,-5000,0", "9,4,5000,-3000", "75,37,9000,0", "3,1,-2000,2000"})
  void ignoresStepsOfAMinorityOfClocks(
      int routers, int stepped, long stepMillis, long leaderStepMillis) {
    ownStepMillis.set(leaderStepMillis);
    recordTimes(routers, stepped, stepMillis);
    monotonic.addAndGet(500 * NANOS_PER_MILLI);
    assertEquals(trueMillis(), clock.wallMillis());
  }

  /** The leader's clock is stepped between two reports of the routers. */
  @Test
  void ignoresStepOfTheLeaderBetweenReports() {
    recordTimes(9, 0, 0);
    ownStepMillis.set(60_000);
    monotonic.addAndGet(40 * NANOS_PER_MILLI);
    assertEquals(trueMillis(), clock.wallMillis());
  }

  @Test
  void usesOwnTimeWithoutRoutersAndForgetsSilentOnes() {
    assertEquals(trueMillis(), clock.wallMillis());
    recordTimes(9, 9, 5_000);
    monotonic.addAndGet(7_000 * NANOS_PER_MILLI);
    clock.recordTime("new", trueMillis());
    assertEquals(trueMillis(), clock.wallMillis());
  }
}
