package io.jacinthquay.decision.scaling;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.routing.ScalingSpec;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class FleetPlannerTest {
  private static final DomainId A = new DomainId("a");
  private static final DomainId B = new DomainId("b");
  private static final List<DomainId> DOMAINS = List.of(A, B);
  private static final PoolLoad CALM = new PoolLoad(10, 0, 2_000, 20_000, 10);
  private static final PoolLoad BURST = new PoolLoad(120, 30, 60_000, 120_000, 60);
  private static final long SECOND = 1_000_000_000L;

  private final FleetPlanner planner =
      new FleetPlanner(new ScalingSpec(1, 12, 4, 0.2, Map.of(A, 1.0, B, 0.8)));
  private final Map<DomainId, Integer> regular = new HashMap<>();
  private final Map<DomainId, Integer> cheap = new HashMap<>();

  private List<UpstreamListing> listings() {
    List<UpstreamListing> all = new ArrayList<>();
    regular.forEach((domain, count) -> add(all, domain, false, count));
    cheap.forEach((domain, count) -> add(all, domain, true, count));
    return all;
  }

  private static void add(List<UpstreamListing> all, DomainId domain, boolean cheap, int count) {
    for (int i = 0; i < count; i++) {
      all.add(
          new UpstreamListing(
              new UpstreamId(domain + "-" + cheap + "-" + i),
              new PoolName("engines"),
              domain,
              InetSocketAddress.createUnresolved("10.0.0.1", 80),
              false,
              cheap,
              64,
              0,
              SoftwareVersion.UNSPECIFIED));
    }
  }

  private List<FleetPlan> step(PoolLoad load, long now) {
    List<FleetPlan> plans = planner.plan(listings(), load, DOMAINS, now);
    plans.forEach(p -> (p.cheap() ? cheap : regular).put(p.domain(), p.count()));
    return plans;
  }

  private int total() {
    return regular.values().stream().mapToInt(n -> n).sum()
        + cheap.values().stream().mapToInt(n -> n).sum();
  }

  @Test
  void replaceRegularUpstreamsOnlyAfterCheapOnesServe() {
    regular.put(A, 6);
    regular.put(B, 6);
    List<FleetPlan> first = step(CALM, 0);
    assertTrue(
        first.stream().allMatch(FleetPlan::cheap), "regular upstreams stay at first: " + first);
    step(CALM, SECOND);
    assertEquals(Map.of(A, 0, B, 1), regular, "one regular upstream stays, where it costs least");
    assertTrue(cheap.get(A) >= 1 && cheap.get(B) >= 1);
  }

  /** A domain loses its cheap upstreams: the remaining upstreams must carry the load. */
  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 5, 8})
  void carryTheLoadAfterLosingTheCheapUpstreamsOfAnyDomain(int domains) {
    Map<DomainId, Double> prices = new HashMap<>();
    for (int i = 0; i < domains; i++) {
      prices.put(new DomainId("d" + i), 1.0);
    }
    FleetPlanner wide = new FleetPlanner(new ScalingSpec(1, 40, 4, 0.2, prices));
    PoolLoad load = new PoolLoad(180, 0, 60_000, 340_000, 100);
    for (int second = 0; second < 20; second++) {
      wide.plan(listings(), load, prices.keySet(), second * SECOND)
          .forEach(p -> (p.cheap() ? cheap : regular).put(p.domain(), p.count()));
    }
    int fullest = cheap.values().stream().mapToInt(n -> n).max().orElse(0);
    assertTrue(total() - fullest >= wide.need(), regular + " and " + cheap);
    int kept = regular.values().stream().mapToInt(n -> n).sum();
    assertTrue(kept >= 0.1 * wide.need(), "too few regular upstreams: " + kept);
    assertTrue(domains < 3 || kept <= 0.2 * wide.need(), "too many regular upstreams: " + kept);
  }

  /** A short burst: the pool grows at once and doesn't shrink for seconds. */
  @Test
  void growImmediatelyAndShrinkLate() {
    step(CALM, 0);
    step(CALM, SECOND);
    int before = total();
    step(BURST, 2 * SECOND);
    int during = total();
    assertTrue(during >= before + 4, before + " grew to " + during);
    step(CALM, 3 * SECOND);
    assertEquals(during, total());
    for (int i = 0; i < 400; i++) {
      step(CALM, (4 + i) * SECOND);
    }
    assertTrue(total() < during);
  }

  /** Cheap upstreams of one domain are reclaimed and refused: other domains compensate. */
  @Test
  void orderCheapUpstreamsElsewhereAfterARefusal() {
    step(CALM, 0);
    step(CALM, SECOND);
    int elsewhere = cheap.get(B);
    cheap.put(A, 0);
    planner.refused(new FleetPlan(A, true, 1), 20 * SECOND);
    step(CALM, 21 * SECOND);
    assertTrue(cheap.get(B) > elsewhere);
    assertEquals(Map.of(A, 1, B, 1), regular, "each domain keeps its minimum");
  }

  /** No domain has cheap upstreams: regular ones cover the need without headroom. */
  @Test
  void orderRegularUpstreamsWhenCheapOnesAreRefusedEverywhere() {
    step(BURST, 0);
    step(BURST, SECOND);
    cheap.clear();
    planner.refused(new FleetPlan(A, true, 1), 20 * SECOND);
    planner.refused(new FleetPlan(B, true, 1), 20 * SECOND);
    step(BURST, 21 * SECOND);
    assertEquals(Math.ceil(planner.need()), total());
  }

  /** A new leader knows no load yet: it must not stop serving upstreams for that reason. */
  @Test
  void stopNothingAfterALeaderChange() {
    regular.put(A, 1);
    regular.put(B, 1);
    cheap.put(A, 6);
    cheap.put(B, 6);
    for (int i = 0; i < 5; i++) {
      step(CALM, i * SECOND);
      assertTrue(total() >= 14, "stopped " + (14 - total()) + " after " + i + " s");
    }
  }

  /** No more cheap upstreams are available, but those that serve must count as capacity. */
  @Test
  void countServingCheapUpstreamsWhenMoreAreRefused() {
    PoolLoad load = new PoolLoad(40, 0, 60_000, 120_000, 25);
    for (int i = 0; i < 5; i++) {
      step(load, i * SECOND);
    }
    int serving = total();
    Map<DomainId, Integer> before = Map.copyOf(regular);
    planner.refused(new FleetPlan(A, true, 7), 20 * SECOND);
    planner.refused(new FleetPlan(B, true, 7), 20 * SECOND);
    step(load, 21 * SECOND);
    assertEquals(before, regular, "regular upstreams were ordered in addition to " + serving);
  }

  /** The platform didn't answer an order, which may have been refused or accepted. */
  @Test
  void repeatAnOrderWithUnknownOutcome() {
    step(CALM, 0);
    List<FleetPlan> sent = step(CALM, SECOND);
    int inB = cheap.get(B);
    FleetPlan order = new FleetPlan(A, true, cheap.get(A));
    planner.recordUnknownOutcome(order);
    assertEquals(List.of(), step(CALM, 2 * SECOND), "sent before: " + sent);
    assertEquals(List.of(order), step(CALM, 5 * SECOND));
    assertEquals(inB, cheap.get(B));
    assertEquals(List.of(), step(CALM, 6 * SECOND));
  }

  /**
   * Guards against counting the planner's own orders as load before the first request, which made
   * it order ever more.
   */
  @Test
  void doNotCountOwnOrdersAsLoad() {
    PoolLoad none = new PoolLoad(0, 0, 0, 0, 0);
    regular.put(A, 28);
    regular.put(B, 28);
    FleetPlanner wide = new FleetPlanner(new ScalingSpec(1, 100, 4, 0.2, Map.of(A, 1.0, B, 0.8)));
    for (int second = 0; second < 20; second++) {
      wide.plan(listings(), none, DOMAINS, second * SECOND)
          .forEach(p -> (p.cheap() ? cheap : regular).put(p.domain(), p.count()));
      assertTrue(total() <= 2 * 56 + 2, "ordered " + total() + " after " + second + " s");
    }
    assertTrue(total() <= 58, "56 became " + total());
  }

  /** The system and its upstreams start together, so the list grows for seconds. */
  @Test
  void orderNothingBeforeTheListIsStable() {
    PoolLoad none = new PoolLoad(0, 0, 0, 0, 0);
    for (int second = 0; second < 6; second++) {
      regular.put(A, second + 1);
      regular.put(B, second);
      assertEquals(List.of(), step(none, second * SECOND));
    }
    assertEquals(List.of(), step(none, 6 * SECOND));
    int before = total();
    for (int second = 7; second < 20; second++) {
      step(none, second * SECOND);
    }
    assertTrue(total() >= before, before + " became " + total());
    assertEquals(2, regular.get(A) + regular.get(B), "cheap and regular: " + cheap + regular);
  }

  @Test
  void doNotRepeatAnEffectiveOrder() {
    step(CALM, 0);
    step(CALM, SECOND);
    assertEquals(List.of(), step(CALM, 2 * SECOND));
  }
}
