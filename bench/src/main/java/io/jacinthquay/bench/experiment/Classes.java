package io.jacinthquay.bench.experiment;

import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.policy.ClassPolicy;
import java.util.List;

/** The five classes of the experiments. */
final class Classes {
  static final List<ClassPolicy> ALL =
      List.of(
          of("kiosk", 0, 500, 60, false),
          of("counter", 1, 1_000, 80, false),
          of("draft", 2, 3_000, 100, false),
          of("summary", 3, 10_000, 150, false),
          of("digest", 4, 60_000, 500, true));

  /** Shares of the classes in the requests. */
  static final List<Double> CLASS_WEIGHTS = List.of(0.15, 0.3, 0.25, 0.2, 0.1);

  /** Shares of the customers: three large ones and seven small ones. */
  static final List<Double> CUSTOMER_WEIGHTS =
      List.of(4.0, 3.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0);

  private static final long FLOOR_INTERVAL_MS = 5_000;
  private static final double OBJECTIVE = 0.95;

  private Classes() {}

  private static ClassPolicy of(
      String name, int tier, long firstTokenMs, double interTokenMs, boolean mustFinish) {
    return new ClassPolicy(
        new ClassName(name),
        new Tier(tier),
        firstTokenMs,
        interTokenMs,
        OBJECTIVE,
        mustFinish,
        FLOOR_INTERVAL_MS);
  }
}
