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

/** Generates random arrivals of heavy-tailed work over five tiers, on random routers. */
final class Workload {
  private static final double MEAN_TOKENS = 60;

  /** Standard deviation of the logarithm of the tokens. */
  private static final double SIGMA = 1.0;

  private static final long FIRST_TOKEN_NANOS = 20 * DomainSimulation.MS;

  private final DomainSimulation domain;
  private int submitted;

  Workload(DomainSimulation domain) {
    this.domain = domain;
  }

  /**
   * Returns the policy of class {@code t0} to {@code t4}; requests of the lowest tier must finish.
   */
  static Optional<ClassPolicy> policy(ClassName name) {
    int tier = name.value().charAt(1) - '0';
    boolean mustFinish = tier == 4;
    long targetMs = mustFinish ? 60_000 : 300 + 100L * tier;
    return Optional.of(new ClassPolicy(name, new Tier(tier), targetMs, 50, 0.9, mustFinish, 2_000));
  }

  /** Returns the mean time that a request holds a slot, in seconds. */
  static double meanServiceSeconds() {
    return (FIRST_TOKEN_NANOS + MEAN_TOKENS * 5 * DomainSimulation.MS) / 1e9;
  }

  /** Submits Poisson arrivals of one class and customer from now until a time. */
  void stream(int tier, String customer, double perSecond, long untilNanos) {
    long gapNanos = (long) (-Math.log(1 - domain.random.nextDouble()) / perSecond * 1e9);
    if (domain.nowNanos + gapNanos > untilNanos) {
      return;
    }
    domain.at(
        gapNanos,
        now -> {
          submitOne(tier, customer);
          stream(tier, customer, perSecond, untilNanos);
        });
  }

  /** Submits bursts of requests at a fixed interval until a time. */
  void bursts(int tier, int size, long intervalNanos, long untilNanos) {
    if (domain.nowNanos + intervalNanos > untilNanos) {
      return;
    }
    domain.at(
        intervalNanos,
        now -> {
          for (int i = 0; i < size; i++) {
            submitOne(tier, "burst" + tier);
          }
          bursts(tier, size, intervalNanos, untilNanos);
        });
  }

  /** Submits one request to a random router. */
  void submitOne(int tier, String customer) {
    List<VmId> routers = new ArrayList<>(domain.routers.keySet());
    VmId router = routers.get(domain.random.nextInt(routers.size()));
    double tokens =
        MEAN_TOKENS * Math.exp(SIGMA * domain.random.nextGaussian() - SIGMA * SIGMA / 2);
    ClassName name = new ClassName("t" + tier);
    long targetNanos = policy(name).orElseThrow().firstTokenMs() * DomainSimulation.MS;
    submitted++;
    AdmissionRequest request =
        new AdmissionRequest(
            new RequestId(customer + "-" + submitted),
            DomainSimulation.SCOPE,
            name,
            new CustomerId(customer),
            domain.nowNanos + targetNanos,
            FIRST_TOKEN_NANOS,
            (long) MEAN_TOKENS,
            true,
            false,
            List.of(),
            List.of());
    domain.submit(router, request, Math.max(1, Math.round(tokens)));
  }
}
