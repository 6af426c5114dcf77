package io.jacinthquay.control.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.UpstreamId;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

final class UpstreamListCacheTest {
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
}
