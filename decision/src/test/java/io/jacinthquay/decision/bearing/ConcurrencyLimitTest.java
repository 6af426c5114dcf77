package io.jacinthquay.decision.bearing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.UpstreamId;
import org.junit.jupiter.api.Test;

/** Tests slow start, halving and the reset to the floor. */
class ConcurrencyLimitTest {
  private static final long MS = 1_000_000L;
  private static final UpstreamId ENGINE = new UpstreamId("engine-1");

  private final ConcurrencyLimit bearing =
      new ConcurrencyLimit(new UpstreamSpec(ENGINE, 2, 64), ConcurrencyLimitOptions.defaults());

  private static ConcurrencyLimit unstated(boolean reportsLoad) {
    UpstreamSpec spec = new UpstreamSpec(ENGINE, 2, UpstreamSpec.DEFAULT_CEILING, reportsLoad);
    return new ConcurrencyLimit(spec, ConcurrencyLimitOptions.defaults());
  }

  private void complete(int times, boolean onTarget, long firstTokenNanos) {
    complete(bearing, times, onTarget, firstTokenNanos);
  }

  private static void complete(
      ConcurrencyLimit bearing, int times, boolean onTarget, long firstTokenNanos) {
    for (int i = 0; i < times; i++) {
      bearing.completed(0, onTarget, firstTokenNanos, bearing.limit());
    }
  }

  @Test
  void growsOnlyOnTargetAndWhenUsed() {
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
  void halvesOncePerOverload() {
    complete(30, true, MS);
    bearing.recordOverload(1_000 * MS);
    bearing.recordOverload(1_100 * MS);
    assertEquals(16, bearing.limit());
    assertFalse(bearing.warming());
    complete(16, true, MS);
    assertEquals(16, bearing.limit(), 1);
  }

  @Test
  void returnsToTheFloorWhenTheUpstreamTurnsCold() {
    complete(40, true, 20 * MS);
    assertTrue(bearing.limit() > 30);
    complete(12, true, 400 * MS);
    assertTrue(bearing.warming());
    assertTrue(bearing.limit() < 16, "limit " + bearing.limit());
    bearing.recordReport(0, new LoadReport(ENGINE, 0, 1, 0, true, 0));
    assertEquals(2, bearing.limit());
  }

  @Test
  void neverExceedsTheStatedLimit() {
    complete(40, true, MS);
    bearing.recordReport(0, new LoadReport(ENGINE, 0, 1, 0, false, 5));
    assertEquals(5, bearing.limit());
  }

  /** Guards against growth past a limit that only the first report states. */
  @Test
  void doesNotGrowBeforeTheReportThatStatesTheLimit() {
    ConcurrencyLimit unreported = unstated(true);
    complete(unreported, 10, true, MS);
    assertEquals(2, unreported.limit());
    unreported.recordReport(0, new LoadReport(ENGINE, 0, 1, 0, false, 5));
    complete(unreported, 10, true, MS);
    assertEquals(5, unreported.limit());
  }

  @Test
  void keepsARestoredLimitUntilTheFirstReport() {
    ConcurrencyLimit unreported = unstated(true);
    unreported.restore(12, true);
    complete(unreported, 10, true, MS);
    assertEquals(12, unreported.limit());
  }

  @Test
  void growsWithoutLoadReports() {
    ConcurrencyLimit unreporting = unstated(false);
    complete(unreporting, 10, true, MS);
    assertEquals(12, unreporting.limit());
  }
}
