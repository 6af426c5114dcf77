package io.jacinthquay.decision.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.decision.bearing.LoadReport;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UpstreamId;
import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ExpectedWaitPlacerTest {
  private static final DomainId LOCAL = new DomainId("a");
  private static final DomainId REMOTE = new DomainId("b");
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;
  private static final long LONG_AGO = -3_600 * NANOS_PER_SECOND;

  private final UpstreamTable table =
      UpstreamTable.create(LOCAL, "router", PlacementSettings.defaults());
  private final Placer placer = Placers.expectedWait(table);
  private final SplittableRandom random = new SplittableRandom(7);

  private void add(int count, DomainId domain, long addedAt) {
    for (int i = 0; i < count; i++) {
      table.add(new UpstreamInfo(id(domain, i), domain), addedAt);
    }
  }

  private static UpstreamId id(DomainId domain, int number) {
    return new UpstreamId(domain + "-" + number);
  }

  private static PlacementRequest request(long... hashes) {
    PromptPrefix prefix = PromptPrefix.ofHashes(hashes, 64);
    return new PlacementRequest(prefix, 64 * hashes.length + 10, 50, Set.of());
  }

  private Placement place(PlacementRequest request, long now) {
    return placer.place(request, u -> true, now, random).orElseThrow();
  }

  /** Sends one request that is answered with the given latencies, and returns its end time. */
  private long serve(UpstreamId upstream, long now, long firstTokenNanos, long interTokenNanos) {
    Dispatch dispatch = table.recordDispatch(upstream, request(), now);
    table.recordFirstToken(dispatch, now + firstTokenNanos);
    for (int token = 1; token <= 5; token++) {
      table.recordTokens(dispatch, 1, now + firstTokenNanos + token * interTokenNanos);
    }
    long end = now + firstTokenNanos + 5 * interTokenNanos;
    table.recordEnd(dispatch, AttemptEnd.COMPLETED, end);
    return end;
  }

  private void serveEvenly(UpstreamId slow, int rounds) {
    for (int round = 0; round < rounds; round++) {
      long now = round * NANOS_PER_SECOND;
      for (UpstreamView view : table.views(now)) {
        long factor = view.id().equals(slow) ? 5 : 1;
        serve(view.id(), now, factor * 50 * NANOS_PER_MILLI, factor * 20 * NANOS_PER_MILLI);
      }
      place(request(), now + 900 * NANOS_PER_MILLI);
    }
  }

  /**
   * Guards against one slow first answer after a start that raises the expected time of a prompt
   * token so much that the next requests are refused.
   */
  @Test
  void oneSlowFirstTokenDoesNotInflateTheEstimate() {
    add(1, LOCAL, LONG_AGO);
    long slow = 1_360 * NANOS_PER_MILLI;
    long now = serve(id(LOCAL, 0), 0, slow, 20 * NANOS_PER_MILLI);
    for (int request = 0; request < 3; request++) {
      table.recordDispatch(id(LOCAL, 0), request(), now);
    }
    long expected = place(request(), now + 900 * NANOS_PER_MILLI).expectedFirstTokenNanos();
    assertTrue(expected <= 4 * slow, "four prompts are expected to take " + expected);
  }

  @Test
  void slowUpstreamIsEjectedProbedAndRestored() {
    add(6, LOCAL, LONG_AGO);
    UpstreamId slow = id(LOCAL, 2);
    serveEvenly(slow, 12);
    assertTrue(view(slow, 12 * NANOS_PER_SECOND).ejected());
    for (int i = 0; i < 50; i++) {
      assertNotEquals(slow, place(request(), 12 * NANOS_PER_SECOND).upstream());
    }
    long later = 60 * NANOS_PER_SECOND;
    for (int probe = 0; probe < 4; probe++) {
      serve(slow, later + probe * NANOS_PER_SECOND, 50 * NANOS_PER_MILLI, 20 * NANOS_PER_MILLI);
    }
    place(request(), later + 5 * NANOS_PER_SECOND);
    assertTrue(!view(slow, later + 5 * NANOS_PER_SECOND).ejected());
  }

  @Test
  void ejectionsStayWithinTheMaximumShare() {
    add(6, LOCAL, LONG_AGO);
    for (int round = 0; round < 20; round++) {
      long now = round * NANOS_PER_SECOND;
      for (int i = 0; i < 6; i++) {
        long factor = i < 3 ? 8 : 1;
        serve(id(LOCAL, i), now, 50 * NANOS_PER_MILLI, factor * 10 * NANOS_PER_MILLI);
      }
      place(request(), now + 900 * NANOS_PER_MILLI);
    }
    long ejected = table.views(0).stream().filter(UpstreamView::ejected).count();
    assertEquals(2, ejected);
  }

  private UpstreamView view(UpstreamId id, long now) {
    return table.views(now).stream().filter(v -> v.id().equals(id)).findFirst().orElseThrow();
  }

  @Test
  void cachedPrefixIsPreferredUntilTheCacheIsCleared() {
    add(8, LOCAL, LONG_AGO);
    long[] hashes = {11, 12, 13, 14, 15, 16, 17, 18};
    UpstreamId holder = id(LOCAL, 5);
    table.applyCacheEvent(new CacheEvent(holder, 1, false, boxed(hashes), List.of()));
    Placement choice = place(request(hashes), 0);
    assertEquals(holder, choice.upstream());
    assertEquals(8 * 64, choice.expectedCachedTokens());
    table.applyCacheEvent(new CacheEvent(holder, 2, true, List.of(), List.of()));
    assertEquals(0, place(request(hashes), 0).expectedCachedTokens());
  }

  @Test
  void lostEventsLowerTheConfidenceInHints() {
    add(2, LOCAL, LONG_AGO);
    long[] hashes = {21, 22, 23, 24};
    table.applyCacheEvent(new CacheEvent(id(LOCAL, 0), 1, false, boxed(hashes), List.of()));
    table.applyCacheEvent(new CacheEvent(id(LOCAL, 0), 9, false, List.of(), List.of()));
    assertEquals(4 * 64 / 2, place(request(hashes), 0).expectedCachedTokens());
  }

  private static List<Long> boxed(long... hashes) {
    return Arrays.stream(hashes).boxed().toList();
  }

  @Test
  void affinityIsIgnoredWhenItsUpstreamIsOverloaded() {
    add(8, LOCAL, LONG_AGO);
    PlacementRequest request = request(31, 32, 33, 34);
    Map<UpstreamId, Integer> chosen = new HashMap<>();
    for (int i = 0; i < 80; i++) {
      UpstreamId upstream = place(request, i * 100 * NANOS_PER_MILLI).upstream();
      chosen.merge(upstream, 1, Integer::sum);
      table.recordDispatch(upstream, request, i * 100 * NANOS_PER_MILLI);
    }
    int maximum = chosen.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
    assertTrue(maximum <= 24, "one upstream got " + maximum + " of 80");
  }

  @Test
  void localDomainIsPreferredUntilItIsFull() {
    add(4, LOCAL, LONG_AGO);
    add(4, REMOTE, LONG_AGO);
    assertTrue(place(request(), 0).local());
    for (int i = 0; i < 4; i++) {
      table.applyLoadReport(new LoadReport(id(LOCAL, i), 0, 32, 64, false, 32), 0);
      table.applyLoadReport(new LoadReport(id(REMOTE, i), 0, 0, 0, false, 32), 0);
    }
    assertTrue(!place(request(), 100 * NANOS_PER_MILLI).local());
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void shareOfReturningUpstreamsRampsUp(boolean wholeDomain) {
    add(4, LOCAL, LONG_AGO);
    if (wholeDomain) {
      table.setDomainOut(LOCAL, true, 0);
      add(4, REMOTE, LONG_AGO);
    } else {
      table.setLeaving(id(LOCAL, 0), true, 0);
    }
    for (int i = 0; i < 60; i++) {
      table.recordDispatch(
          place(request(), NANOS_PER_SECOND).upstream(), request(), NANOS_PER_SECOND);
    }
    if (wholeDomain) {
      table.setDomainOut(LOCAL, false, NANOS_PER_SECOND);
    } else {
      table.setLeaving(id(LOCAL, 0), false, NANOS_PER_SECOND);
    }
    int early = sentToReturned(2 * NANOS_PER_SECOND);
    int late = sentToReturned(2 * NANOS_PER_SECOND + Duration.ofSeconds(10).toNanos());
    assertTrue(
        early <= (wholeDomain ? 12 : 3), "returning upstreams got too many requests: " + early);
    assertTrue(late > early, "the share does not ramp up: " + late);
  }

  /** Sends 40 requests and returns how many go to returned upstreams. */
  private int sentToReturned(long now) {
    int count = 0;
    for (int i = 0; i < 40; i++) {
      UpstreamId upstream = place(request(), now).upstream();
      table.recordDispatch(upstream, request(), now);
      count += view(upstream, now).inFlight() > 0 && isReturned(upstream) ? 1 : 0;
    }
    return count;
  }

  private boolean isReturned(UpstreamId upstream) {
    boolean wholeDomain = table.views(0).size() > 4;
    return wholeDomain ? upstream.value().startsWith("a-") : upstream.equals(id(LOCAL, 0));
  }

  @Test
  void subsetIsBoundedAndStable() {
    add(12_000, LOCAL, LONG_AGO);
    Set<UpstreamId> before = candidates();
    assertEquals(48, before.size());
    UpstreamId removed = before.iterator().next();
    table.remove(removed);
    Set<UpstreamId> after = candidates();
    before.remove(removed);
    assertEquals(48, after.size());
    assertTrue(after.containsAll(before), "a remaining candidate was replaced");
  }

  private Set<UpstreamId> candidates() {
    Set<UpstreamId> candidates = new HashSet<>();
    table.views(0).stream().filter(UpstreamView::candidate).forEach(v -> candidates.add(v.id()));
    return candidates;
  }

  @Test
  void consecutiveFailuresEject() {
    add(4, LOCAL, LONG_AGO);
    UpstreamId broken = id(LOCAL, 1);
    for (int i = 0; i < 3; i++) {
      table.recordEnd(table.recordDispatch(broken, request(), 0), AttemptEnd.FAILED, 0);
    }
    for (int i = 0; i < 40; i++) {
      assertNotEquals(broken, place(request(), NANOS_PER_SECOND).upstream());
    }
  }
}
