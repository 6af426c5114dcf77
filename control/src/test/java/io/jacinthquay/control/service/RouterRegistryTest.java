package io.jacinthquay.control.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.decision.dispatch.UpstreamLoad;
import io.jacinthquay.wire.gen.CustomerCountMessage;
import io.jacinthquay.wire.gen.PoolDemandMessage;
import io.jacinthquay.wire.gen.PrefixReadMessage;
import io.jacinthquay.wire.gen.RouterReportMessage;
import io.jacinthquay.wire.gen.UpstreamLoadMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

final class RouterRegistryTest {
  private static final long SECOND = 1_000_000_000L;

  private final AtomicLong clock = new AtomicLong();
  private final RouterRegistry registry = new RouterRegistry(clock::get);

  private static RouterReportMessage report(String router, long incarnation, long counted) {
    RouterReportMessage report = new RouterReportMessage();
    report.setRouter(router);
    report.setIncarnation(incarnation);
    report.setLoads(List.of(new UpstreamLoadMessage("u", 2, 100, 200, 0.5)));
    report.setCounts(List.of(new CustomerCountMessage(7, "c", counted)));
    report.setDemand(new ArrayList<>());
    return report;
  }

  @Test
  void sumTheLoadsOfAllOthers() {
    registry.heard(report("a", 1, 1), "");
    registry.heard(report("b", 1, 1), "");
    registry.heard(report("c", 1, 1), "");
    assertEquals(Map.of("u", new UpstreamLoad(4, 200, 400, 1.0)), registry.loadsBeside("a"));
  }

  /** A router that was killed has nothing under way, but its share of bounds is kept a while. */
  @Test
  void forgetTheLoadBeforeTheMember() {
    registry.heard(report("a", 1, 1), "");
    clock.set(2 * SECOND);
    registry.heard(report("b", 1, 1), "");
    assertEquals(Map.of(), registry.loadsBeside("b"));
    assertEquals(2, registry.count());
    clock.set(7 * SECOND);
    registry.heard(report("b", 1, 1), "");
    assertEquals(1, registry.count());
  }

  /** A cut failure domain returns: what its routers were asked for meanwhile is no burst. */
  @Test
  void takeNoReturnOfARouterForABurst() {
    DemandRates rates = new DemandRates();
    for (int half = 0; half <= 40; half++) {
      clock.set(half * SECOND / 2);
      long asked = 1_000L * half;
      registry.heard(demand("a", asked), "");
      if (half < 10 || half > 20) {
        registry.heard(demand("b", asked), "");
      }
      rates.read("p", registry.demand(), clock.get());
      double rate = rates.load(0, 0).promptRate();
      assertTrue(rate <= 4_000, rate + " tokens a second at half second " + half);
    }
  }

  private static RouterReportMessage demand(String router, long promptTokens) {
    RouterReportMessage report = report(router, 1, 1);
    report.setDemand(List.of(new PoolDemandMessage("p", 1, promptTokens, 1, 0, 0, 0)));
    return report;
  }

  /** Counts are cumulative within one run of a router and add up over its runs. */
  @Test
  void countEachRunOnce() {
    registry.heard(report("a", 1, 3), "");
    registry.heard(report("a", 1, 5), "");
    registry.heard(report("a", 1, 4), "");
    registry.heard(report("a", 2, 2), "");
    registry.heard(report("b", 1, 1), "");
    assertEquals(Map.of("c", 8L), registry.counts(7));
    assertEquals(Map.of(), registry.counts(8));
  }

  @Test
  void passReadsOnToOthersOnce() {
    PrefixReads reads = new PrefixReads();
    PrefixReadMessage first = new PrefixReadMessage("u", List.of(1L), List.of(9_000));
    PrefixReadMessage second = new PrefixReadMessage("v", List.of(2L), List.of(9_000));
    reads.add("a", List.of(first));
    long seen = reads.number();
    reads.add("b", List.of(second));
    assertEquals(List.of(second), reads.after(0, "a"));
    assertEquals(List.of(first), reads.after(0, "b"));
    assertEquals(List.of(first, second), reads.after(0, "c"));
    assertEquals(List.of(second), reads.after(seen, "c"));
    assertTrue(reads.after(reads.number(), "c").isEmpty());
  }
}
