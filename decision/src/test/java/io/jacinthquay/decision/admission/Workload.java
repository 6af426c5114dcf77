package io.jacinthquay.decision.admission;

import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.VmId;
import io.jacinthquay.model.policy.ClassPolicy;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Random arrivals of heavy-tailed work over five tiers, on random routers. */
final class Workload {
  private static final double MEAN_TOKENS = 60;
  private static final double SIGMA = 1.0;
  private static final long FIRST_TOKEN = 20 * DomainBus.MS;

  private final DomainBus bus;
  private int count;

  Workload(DomainBus bus) {
    this.bus = bus;
  }

  /** Returns class {@code t0} to {@code t4}; the lowest tier must finish. */
  static Optional<ClassPolicy> policy(ClassName name) {
    int tier = name.value().charAt(1) - '0';
    boolean mustFinish = tier == 4;
    long targetMs = mustFinish ? 60_000 : 300 + 100L * tier;
    return Optional.of(new ClassPolicy(name, new Tier(tier), targetMs, 50, 0.9, mustFinish, 2_000));
  }

  /** Mean time that one request holds a slot, in seconds. */
  static double meanServiceSeconds() {
    return (FIRST_TOKEN + MEAN_TOKENS * 5 * DomainBus.MS) / 1e9;
  }

  /** Sends Poisson arrivals of one class and customer from now on. */
  void stream(int tier, String customer, double perSecond, long untilNanos) {
    long gap = (long) (-Math.log(1 - bus.random.nextDouble()) / perSecond * 1e9);
    if (bus.nowNanos + gap > untilNanos) {
      return;
    }
    bus.at(
        gap,
        now -> {
          one(tier, customer);
          stream(tier, customer, perSecond, untilNanos);
        });
  }

  /** Sends many requests at once, again and again. */
  void bursts(int tier, int size, long everyNanos, long untilNanos) {
    if (bus.nowNanos + everyNanos > untilNanos) {
      return;
    }
    bus.at(
        everyNanos,
        now -> {
          for (int i = 0; i < size; i++) {
            one(tier, "burst" + tier);
          }
          bursts(tier, size, everyNanos, untilNanos);
        });
  }

  /** Sends one request to a random router. */
  void one(int tier, String customer) {
    List<VmId> routers = new ArrayList<>(bus.routers.keySet());
    VmId router = routers.get(bus.random.nextInt(routers.size()));
    double tokens = MEAN_TOKENS * Math.exp(SIGMA * bus.random.nextGaussian() - SIGMA * SIGMA / 2);
    ClassName name = new ClassName("t" + tier);
    long target = policy(name).orElseThrow().firstTokenMs() * DomainBus.MS;
    count++;
    AdmissionRequest request =
        new AdmissionRequest(
            new RequestId(customer + "-" + count),
            DomainBus.SCOPE,
            name,
            new CustomerId(customer),
            bus.nowNanos + target,
            FIRST_TOKEN,
            (long) MEAN_TOKENS,
            true,
            false,
            List.of(),
            List.of());
    bus.submit(router, request, Math.max(1, Math.round(tokens)));
  }
}
