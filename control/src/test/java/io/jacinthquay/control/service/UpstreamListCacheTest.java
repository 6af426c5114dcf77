package io.jacinthquay.control.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.runtime.time.ClockReading;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class UpstreamListCacheTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private static final List<UpstreamListing> LIST =
      List.of(
          new UpstreamListing(
              new UpstreamId("u"),
              new PoolName("p"),
              new DomainId("a"),
              InetSocketAddress.createUnresolved("u", 1),
              true,
              false,
              1,
              0,
              SoftwareVersion.UNSPECIFIED));

  private final UpstreamListCache cache = new UpstreamListCache(41);
  private ClockReading now = new ClockReading(0, 0);

  /** A new leader that can't reach the platform must not undo what this VM has polled itself. */
  @Test
  void olderListIsRejected() {
    assertTrue(cache.update(LIST, 0, 500));
    assertFalse(cache.update(List.of(), 0, 499));
    cache.recordUnchanged(400);
    assertEquals(LIST, cache.snapshot().listings());
    assertEquals(500, cache.snapshot().polledNanos());
    assertEquals(42, cache.snapshot().number());
  }

  /** The monotonic clock may be negative. */
  @Test
  void firstListIsTakenAtAnyTime() {
    assertEquals(0, cache.snapshot().number());
    assertTrue(cache.update(List.of(), -900, -900));
    assertTrue(cache.update(LIST, -800, -800));
    assertEquals(43, cache.snapshot().number());
  }

  @Test
  void searchCountsForALimitedTime() {
    assertFalse(cache.isSearched(0));
    cache.recordSearch(1_000);
    assertTrue(cache.isSearched(2_000_000_000L));
    assertFalse(cache.isSearched(3_000_001_000L));
  }

  /** A list from before a suspension of this VM counted as recent. */
  @ParameterizedTest
  @CsvSource({"5000, -1, -5001", "5000, 0, 0", "100, -1, -1", "-5000, -1, -1"})
  void timeOfASuspensionCounts(long stepMillis, long polledMillis, long expectedMillis) {
    UpstreamListCache suspended = new UpstreamListCache(0, () -> now);
    suspended.update(LIST, 0, -2 * NANOS_PER_MILLI);
    now = new ClockReading(0, stepMillis);
    suspended.recordUnchanged(polledMillis * NANOS_PER_MILLI);
    assertEquals(expectedMillis * NANOS_PER_MILLI, suspended.snapshot().polledNanos());
    suspended.update(LIST, 0, NANOS_PER_MILLI);
    assertEquals(NANOS_PER_MILLI, suspended.snapshot().polledNanos());
  }
}
