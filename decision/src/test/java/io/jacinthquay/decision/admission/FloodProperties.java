package io.jacinthquay.decision.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.decision.slots.DecisionListener;
import java.util.HashMap;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/** One customer sends ten times as much as any other, through all routers. */
class FloodProperties {
  private static final int OTHERS = 8;
  private static final String FLOODER = "a-flooder";

  @Property(tries = 8, seed = "4711")
  void worstOtherCustomerKeepsItsAttainment(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    Map<String, Double> calm = attainments(seed, false);
    Map<String, Double> flooded = attainments(seed, true);
    for (int i = 0; i < OTHERS; i++) {
      String customer = "c" + i;
      double ratio = flooded.get(customer) / calm.get(customer);
      assertTrue(ratio >= 0.9, customer + " keeps " + ratio + " of " + calm.get(customer));
    }
  }

  private static Map<String, Double> attainments(long seed, boolean flood) {
    DomainBus bus = new DomainBus(seed, 3, Workload::policy, vm -> DecisionListener.NONE);
    bus.engines(4, 8, 8).start();
    Workload workload = new Workload(bus);
    double share = 0.8 * 32 / Workload.meanServiceSeconds() / (OTHERS + 1);
    long end = 15_000 * DomainBus.MS;
    for (int i = 0; i < OTHERS; i++) {
      workload.stream(1, "c" + i, share, end);
    }
    workload.stream(1, FLOODER, flood ? 10 * share : share, end);
    bus.runUntil(2 * end);
    Map<String, Integer> all = new HashMap<>();
    Map<String, Integer> met = new HashMap<>();
    for (DomainBus.Call call : bus.calls.values()) {
      String customer = call.request.customer().value();
      all.merge(customer, 1, Integer::sum);
      met.merge(customer, call.onTarget() ? 1 : 0, Integer::sum);
    }
    Map<String, Double> attainments = new HashMap<>();
    all.forEach((customer, count) -> attainments.put(customer, (double) met.get(customer) / count));
    return attainments;
  }
}
