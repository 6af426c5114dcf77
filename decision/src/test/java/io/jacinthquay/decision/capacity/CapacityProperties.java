package io.jacinthquay.decision.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.decision.capacity.MarketSplit.Limit;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.policy.PoolKind;
import io.jacinthquay.model.policy.PoolPolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CapacityProperties {
  private static final CapacityOptions OPTIONS = CapacityOptions.DEFAULT;
  private static final List<DomainId> DOMAINS =
      List.of(new DomainId("a"), new DomainId("b"), new DomainId("c"));

  private static PoolPolicy policy(int min, int max, double cost, boolean cheap) {
    return new PoolPolicy(new PoolName("p"), PoolKind.ENGINE, min, max, cost, cheap);
  }

  private static PlanInput input(PoolPolicy policy, Demand demand, List<DomainId> domains) {
    return new PlanInput(policy, demand, 8, domains, 10, 3);
  }

  @Property(seed = "11", tries = 500)
  void topTiersAreServedAfterADomainLosesItsCheapUpstreams(
      @ForAll @DoubleRange(max = 400) double highest,
      @ForAll @DoubleRange(max = 400) double second,
      @ForAll @DoubleRange(max = 400) double rest,
      @ForAll @IntRange(min = 1, max = 3) int domains) {
    Demand demand = new Demand(highest, highest + second, highest + second + rest);
    PlanInput input = input(policy(0, 1_000, 0, true), demand, DOMAINS.subList(0, domains));
    MarketSplit split = new SplitPlanner(OPTIONS).split(input);
    int lost = (split.cheap() + domains - 1) / domains;
    double remainingSlots = (split.total() - lost) * 8 * OPTIONS.degradedUtilisation();
    assertTrue(remainingSlots + 1e-6 >= demand.topTwo(), split.toString());
    double regularSlots = split.regular() * 8 * OPTIONS.degradedUtilisation();
    assertTrue(regularSlots + 1e-6 >= demand.highest(), split.toString());
  }

  @ParameterizedTest
  @CsvSource({
    "60,0,1000,0,true,10,DEMAND",
    "60,20,1000,0,true,20,MIN_UPSTREAMS",
    "60,0,4,0,true,4,MAX_UPSTREAMS",
    "60,0,1000,50,false,5,COST_LIMIT",
    "0,0,1000,0,true,0,DEMAND"
  })
  void operatorLimitsAreRespected(
      double all, int min, int max, double cost, boolean cheap, int total, Limit limit) {
    Demand demand = new Demand(0, all / 2, all);
    PlanInput input = input(policy(min, max, cost, cheap), demand, DOMAINS);
    MarketSplit split = new SplitPlanner(OPTIONS).split(input);
    assertEquals(total, split.total(), split.toString());
    assertEquals(limit, split.limitedBy());
  }

  @Test
  void noUpstreamsArePlannedWithoutDomains() {
    PlanInput input = input(policy(3, 9, 0, true), new Demand(1, 2, 3), List.of());
    assertEquals(Limit.NO_DOMAIN, new SplitPlanner(OPTIONS).split(input).limitedBy());
  }

  /** A simulated pool in which actions take effect immediately. */
  private static final class Pool {
    final PoolPlanner planner = new PoolPlanner(OPTIONS);
    final Map<UpstreamId, PoolUpstream> upstreams = new HashMap<>();
    int nextNumber;

    List<CapacityAction> step(Demand demand, List<DomainId> domains) {
      PlanInput input = input(policy(0, 1_000, 0, true), demand, domains);
      List<CapacityAction> actions = planner.plan(input, new ArrayList<>(upstreams.values()));
      actions.forEach(this::apply);
      return actions;
    }

    private void apply(CapacityAction action) {
      if (action instanceof CapacityAction.Start start) {
        UpstreamId id = new UpstreamId("u" + nextNumber++);
        upstreams.put(id, new PoolUpstream(id, start.domain(), start.market(), Phase.SERVING, 0));
      } else if (action instanceof CapacityAction.Drain drain) {
        upstreams.computeIfPresent(
            drain.upstream(),
            (id, u) -> new PoolUpstream(id, u.domain(), u.market(), Phase.DRAINING, 0));
      } else if (action instanceof CapacityAction.Stop stop) {
        assertEquals(Phase.DRAINING, upstreams.remove(stop.upstream()).phase());
      }
    }

    long countIn(DomainId domain) {
      return upstreams.values().stream().filter(u -> u.domain().equals(domain)).count();
    }
  }

  @Property(seed = "12", tries = 200)
  void startsAreSpreadOverTheDomains(@ForAll @DoubleRange(min = 1, max = 600) double all) {
    Pool pool = new Pool();
    pool.step(new Demand(0, all / 3, all), DOMAINS);
    long maximum = DOMAINS.stream().mapToLong(pool::countIn).max().orElseThrow();
    long minimum = DOMAINS.stream().mapToLong(pool::countIn).min().orElseThrow();
    assertTrue(
        maximum - minimum <= 2, maximum + " upstreams in one domain, " + minimum + " in another");
  }

  @Test
  void surplusUpstreamsAreDrainedAfterTheHoldAndThenStopped() {
    Pool pool = new Pool();
    pool.step(new Demand(0, 60, 120), DOMAINS);
    int before = pool.upstreams.size();
    for (int i = 0; i < OPTIONS.holdSteps(); i++) {
      assertEquals(List.of(), pool.step(new Demand(0, 30, 60), DOMAINS));
    }
    assertTrue(pool.step(new Demand(0, 30, 60), DOMAINS).get(0) instanceof CapacityAction.Drain);
    for (int i = 0; i < 100; i++) {
      pool.step(new Demand(0, 30, 60), DOMAINS);
    }
    assertTrue(pool.upstreams.size() < before);
    assertTrue(pool.upstreams.size() >= pool.planner.latest().total());
  }

  @Test
  void upstreamsOfAnExcludedDomainAreReplacedAndDrained() {
    Pool pool = new Pool();
    Demand demand = new Demand(0, 60, 120);
    pool.step(demand, DOMAINS);
    List<DomainId> remainingDomains = DOMAINS.subList(1, 3);
    for (int i = 0; i < 5; i++) {
      pool.step(demand, remainingDomains);
    }
    assertEquals(0, pool.countIn(DOMAINS.get(0)));
    assertTrue(pool.upstreams.size() >= pool.planner.latest().total());
  }

  @Test
  void forecastFollowsATrendAndKeepsHeadroomAfterAnError() {
    DemandForecast forecast = new DemandForecast(1);
    for (int i = 0; i < 200; i++) {
      forecast.observe(new Demand(0, 0, i));
    }
    assertTrue(forecast.upperBound(10).all() > 205, () -> forecast.upperBound(10).toString());
    DemandForecast steady = new DemandForecast(1);
    for (int i = 0; i < 50; i++) {
      steady.observe(new Demand(0, 0, i == 40 ? 60 : 10));
    }
    assertTrue(steady.upperBound(0).all() > 30, () -> steady.upperBound(0).toString());
  }
}
