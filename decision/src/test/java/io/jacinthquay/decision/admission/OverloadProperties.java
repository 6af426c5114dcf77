package io.jacinthquay.decision.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.model.ClassName;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/** Load of twice the capacity over five tiers, on one to nine routers. */
class OverloadProperties {
  private static final int ENGINES = 4;
  private static final int SLOTS = 8;

  @Property(tries = 12, seed = "4711")
  void neverViolatesTiersFloorsOrMustFinishUnderOverload(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed,
      @ForAll @IntRange(min = 0, max = 2) int size) {
    int routers = List.of(1, 3, 9).get(size);
    DecisionOracle oracle = new DecisionOracle(name -> Workload.policy(name).orElseThrow());
    DomainSimulation domain = new DomainSimulation(seed, routers, Workload::policy, vm -> oracle);
    domain.engines(ENGINES, SLOTS, SLOTS).start();
    Workload workload = new Workload(domain);
    double capacity = ENGINES * SLOTS / Workload.meanServiceSeconds();
    long end = 12_000 * DomainSimulation.MS;
    for (int tier = 0; tier < 5; tier++) {
      workload.stream(tier, "c" + tier, 0.4 * capacity, end);
    }
    workload.bursts(0, 18, 1_500 * DomainSimulation.MS, end);
    domain.runUntil(4 * end);
    assertEquals(List.of(), oracle.violations().stream().limit(5).toList());
    assertEquals(Set.of(), domain.unanswered());
    assertEquals(0, domain.breaches());
    assertTrue(oracle.sheds() > 100, "sheds " + oracle.sheds());
    assertTrue(oracle.preemptions() > 0, "no preemption");
    assertTrue(oracle.floors() > 0, "no floor");
    assertTrue(attainment(domain, "t0") > 0.95, "attainment " + attainment(domain, "t0"));
  }

  static double attainment(DomainSimulation domain, String className) {
    ClassName name = new ClassName(className);
    long all =
        domain.calls.values().stream()
            .filter(call -> call.request.className().equals(name))
            .count();
    long met =
        domain.calls.values().stream()
            .filter(call -> call.request.className().equals(name) && call.onTarget())
            .count();
    return (double) met / all;
  }
}
