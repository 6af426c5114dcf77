package io.jacinthquay.decision.bearing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.UpstreamId;
import org.junit.jupiter.api.Test;

/** Slow start, halving and the return to the floor. */
class BearingLimitTest {
  private static final long MS = 1_000_000L;
  private static final UpstreamId ENGINE = new UpstreamId("engine-1");

  private final BearingLimit bearing =
      new BearingLimit(new UpstreamSpec(ENGINE, 2, 64), BearingOptions.defaults());

  private void complete(int times, boolean onTarget, long firstTokenNanos) {
    for (int i = 0; i < times; i++) {
      bearing.completed(0, onTarget, firstTokenNanos, bearing.limit());
    }
  }

  @Test
  void growsOnlyOnWorkThatIsOnTargetAndFillsIt() {
    complete(10, false, MS);
    assertEquals(2, bearing.limit());
    for (int i = 0; i < 10; i++) {
      bearing.completed(0, true, MS, 0);
    }
    assertEquals(2, bearing.limit());
    complete(10, true, MS);
    assertEquals(12, bearing.limit());
  }

  @Test
  void halvesOnceForOneOverload() {
    complete(30, true, MS);
    bearing.overloaded(1_000 * MS);
    bearing.overloaded(1_100 * MS);
    assertEquals(16, bearing.limit());
    assertFalse(bearing.warming());
    complete(16, true, MS);
    assertEquals(16, bearing.limit(), 1);
  }

  @Test
  void returnsToTheFloorWhenItTurnsCold() {
    complete(40, true, 20 * MS);
    assertTrue(bearing.limit() > 30);
    complete(12, true, 400 * MS);
    assertTrue(bearing.warming());
    assertTrue(bearing.limit() < 16, "limit " + bearing.limit());
    bearing.reported(0, new LoadReport(ENGINE, 0, 1, 0, true, 0));
    assertEquals(2, bearing.limit());
  }

  @Test
  void neverExceedsWhatTheUpstreamStates() {
    complete(40, true, MS);
    bearing.reported(0, new LoadReport(ENGINE, 0, 1, 0, false, 5));
    assertEquals(5, bearing.limit());
  }
}
