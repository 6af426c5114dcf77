package io.jacinthquay.control.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.decision.dispatch.UpstreamLoad;
import io.jacinthquay.decision.scaling.ServiceQuality;
import io.jacinthquay.wire.gen.CustomerCountMessage;
import io.jacinthquay.wire.gen.PoolDemandMessage;
import io.jacinthquay.wire.gen.PrefixReadMessage;
import io.jacinthquay.wire.gen.RouterReportMessage;
import io.jacinthquay.wire.gen.UpstreamLoadMessage;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class RouterRegistryTest {
  private static final long NANOS_PER_SECOND = 1_000_000_000L;

  /** About half of the parts that fit into the largest message, in bytes and as objects. */
  private static final int MAX_PARTS_PER_VIEW = 500_000;

  private final AtomicLong clock = new AtomicLong();
  private final RouterRegistry registry = new RouterRegistry(clock::get);

  private static RouterReportMessage report(String router, long incarnation, long requests) {
    RouterReportMessage report = new RouterReportMessage();
    report.setRouter(router);
    report.setIncarnation(incarnation);
    report.setLoads(List.of(new UpstreamLoadMessage("u", 2, 100, 200, 0.5)));
    report.setCounts(List.of(new CustomerCountMessage(7, "c", requests)));
    report.setDemand(new ArrayList<>());
    return report;
  }

  @Test
  void sumsLoadsOfAllOtherRouters() {
    registry.recordReport(report("a", 1, 1), "");
    registry.recordReport(report("b", 1, 1), "");
    registry.recordReport(report("c", 1, 1), "");
    assertEquals(Map.of("u", new UpstreamLoad(4, 200, 400, 1.0)), registry.loadsOfOthers("a"));
  }

  /**
   * A router that was killed has nothing in flight, but keeps its share of the limits for some
   * seconds.
   */
  @Test
  void loadExpiresBeforeRouterDoes() {
    registry.recordReport(report("a", 1, 1), "");
    clock.set(2 * NANOS_PER_SECOND);
    registry.recordReport(report("b", 1, 1), "");
    assertEquals(Map.of(), registry.loadsOfOthers("b"));
    assertEquals(2, registry.count());
    clock.set(7 * NANOS_PER_SECOND);
    registry.recordReport(report("b", 1, 1), "");
    assertEquals(1, registry.count());
  }

  /** Routers with the same position would send to an upstream with a stated limit at once. */
  @Test
  void positionsOfLeaderAndRelayAgree() {
    RouterRegistry relayRegistry = new RouterRegistry(clock::get);
    for (String name : List.of("b-2", "a-1", "b-1", "c-1", "a-2")) {
      RouterReportMessage report = report(name, 1, 1).setDomain(name.substring(0, 1));
      registry.recordReport(report, "");
      if (report.getDomain().equals("b")) {
        relayRegistry.recordReport(report, "");
      }
    }
    assertEquals(0, registry.position("a", "a-1"));
    assertEquals(3, registry.position("b", "b-2"));
    assertEquals(4, registry.position("c", "c-1"));
    int offset = registry.position("b", "");
    assertEquals(registry.position("b", "b-1"), offset + relayRegistry.position("b", "b-1"));
    assertEquals(registry.position("b", "b-2"), offset + relayRegistry.position("b", "b-2"));
  }

  /**
   * A disconnected failure domain returns: the requests that its routers received meanwhile must
   * not count as a burst.
   */
  @Test
  void returnOfARouterIsNoBurst() {
    DemandRates rates = new DemandRates();
    for (int halfSecond = 0; halfSecond <= 40; halfSecond++) {
      clock.set(halfSecond * NANOS_PER_SECOND / 2);
      long promptTokens = 1_000L * halfSecond;
      registry.recordReport(demand("a", promptTokens), "");
      if (halfSecond < 10 || halfSecond > 20) {
        registry.recordReport(demand("b", promptTokens), "");
      }
      rates.record("p", registry.demand(), clock.get());
      double rate = rates.load(0, 0).promptRate();
      assertTrue(rate <= 4_000, rate + " tokens a second at half second " + halfSecond);
    }
  }

  /** Guards against counting what routers answered late before the window. */
  @Test
  void countLateAndRefusedRequestsOfTheWindow() {
    DemandRates rates = new DemandRates();
    for (int halfSecond = 0; halfSecond <= 10; halfSecond++) {
      clock.set(halfSecond * NANOS_PER_SECOND / 2);
      RouterReportMessage report = report("a", 1, 1);
      int late = halfSecond < 5 ? 50 : 50 + 2 * (halfSecond - 5);
      report.setDemand(
          List.of(new PoolDemandMessage("p", 20 * halfSecond, 0, 0, halfSecond, 0, late)));
      registry.recordReport(report, "");
      rates.record("p", registry.demand(), clock.get());
    }
    assertEquals(new ServiceQuality(1, 60, 9, 700), rates.quality(700));
  }

  private static RouterReportMessage demand(String router, long promptTokens) {
    RouterReportMessage report = report(router, 1, 1);
    report.setDemand(List.of(new PoolDemandMessage("p", 1, promptTokens, 1, 0, 0, 0)));
    return report;
  }

  /** Counts are cumulative within one run of a router and are summed over its runs. */
  @Test
  void countsEachRunOfARouterOnce() {
    registry.recordReport(report("a", 1, 3), "");
    registry.recordReport(report("a", 1, 5), "");
    registry.recordReport(report("a", 1, 4), "");
    registry.recordReport(report("a", 2, 2), "");
    registry.recordReport(report("b", 1, 1), "");
    assertEquals(Map.of("c", 8L), registry.counts(7));
    assertEquals(Map.of(), registry.counts(8));
  }

  @Test
  void passesEachCachedPrefixToOtherRoutersOnce() {
    CachedPrefixLog prefixes = new CachedPrefixLog();
    PrefixReadMessage first = new PrefixReadMessage("u", List.of(1L), List.of(9_000));
    PrefixReadMessage second = new PrefixReadMessage("v", List.of(2L), List.of(9_000));
    prefixes.add("a", List.of(first));
    long seen = prefixes.lastNumber();
    prefixes.add("b", List.of(second));
    assertEquals(List.of(second), prefixes.entriesAfter(0, "a"));
    assertEquals(List.of(first), prefixes.entriesAfter(0, "b"));
    assertEquals(List.of(first, second), prefixes.entriesAfter(0, "c"));
    assertEquals(List.of(second), prefixes.entriesAfter(seen, "c"));
    assertTrue(prefixes.entriesAfter(prefixes.lastNumber(), "c").isEmpty());
  }

  /**
   * Views with the prefixes of long prompts exceeded the limits of a message, and none was read.
   */
  @ParameterizedTest
  @CsvSource({"400, 20, 400", "400, 5000, 20", "2, 500000, 0"})
  void prefixesOfAViewHaveABoundedNumberOfParts(int prompts, int parts, int least) {
    CachedPrefixLog prefixes = new CachedPrefixLog();
    List<Long> ids = LongStream.range(0, parts).boxed().toList();
    List<Integer> tokens = Collections.nCopies(parts, 9_000);
    for (int i = 0; i < prompts; i++) {
      prefixes.add("a", List.of(new PrefixReadMessage("u", ids, tokens)));
    }
    List<PrefixReadMessage> passedOn = prefixes.entriesAfter(0, "b");
    int sum = passedOn.stream().mapToInt(PrefixReadMessage::getPartsSize).sum();
    assertTrue(passedOn.size() >= least, "only " + passedOn.size() + " prefixes");
    assertTrue(sum <= MAX_PARTS_PER_VIEW, "a view has " + sum + " parts");
  }
}
