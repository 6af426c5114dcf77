package io.jacinthquay.decision.admission;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.decision.slots.DecisionListener;
import java.util.HashMap;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

/** Guards the other customers against one that sends ten times the load of each of them. */
class FloodProperties {
  private static final int OTHER_CUSTOMERS = 8;
  private static final String FLOODER = "a-flooder";

  @Property(tries = 8, seed = "4711")
  void floodOfOneCustomerLowersAttainmentOfOthersByAtMostATenth(
      @ForAll @LongRange(min = 1, max = 1_000_000) long seed) {
    Map<String, Double> baseline = attainments(seed, false);
    Map<String, Double> flooded = attainments(seed, true);
    for (int i = 0; i < OTHER_CUSTOMERS; i++) {
      String customer = "c" + i;
      double ratio = flooded.get(customer) / baseline.get(customer);
      assertTrue(ratio >= 0.9, customer + " keeps " + ratio + " of " + baseline.get(customer));
    }
  }

  private static Map<String, Double> attainments(long seed, boolean flood) {
    DomainSimulation domain =
        new DomainSimulation(seed, 3, Workload::policy, vm -> DecisionListener.NONE);
    domain.engines(4, 8, 8).start();
    Workload workload = new Workload(domain);
    double share = 0.8 * 32 / Workload.meanServiceSeconds() / (OTHER_CUSTOMERS + 1);
    long end = 15_000 * DomainSimulation.MS;
    for (int i = 0; i < OTHER_CUSTOMERS; i++) {
      workload.stream(1, "c" + i, share, end);
    }
    workload.stream(1, FLOODER, flood ? 10 * share : share, end);
    domain.runUntil(2 * end);
    Map<String, Integer> all = new HashMap<>();
    Map<String, Integer> met = new HashMap<>();
    for (DomainSimulation.Call call : domain.calls.values()) {
      String customer = call.request.customer().value();
      all.merge(customer, 1, Integer::sum);
      met.merge(customer, call.onTarget() ? 1 : 0, Integer::sum);
    }
    Map<String, Double> attainments = new HashMap<>();
    all.forEach((customer, count) -> attainments.put(customer, (double) met.get(customer) / count));
    return attainments;
  }
}
