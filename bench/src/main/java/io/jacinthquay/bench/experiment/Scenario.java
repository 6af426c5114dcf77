package io.jacinthquay.bench.experiment;

import io.jacinthquay.bench.engine.EngineSettings;
import io.jacinthquay.bench.engine.ModelEngine;
import io.jacinthquay.model.DomainId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** What happens in an experiment: how much arrives and what fails. */
enum Scenario {
  /** Twice the capacity over five tiers. */
  OVERLOAD(2.0, 1.5),
  /** One customer sends ten times as much in one class, through all routers. */
  FLOOD(0.7, 1.0) {
    @Override
    WorkloadSettings workload(WorkloadSettings base) {
      return base.withFlood(FLOOD_FACTOR);
    }
  },
  /** The load of the flood without it, for comparison. */
  CALM(0.7, 1.0),
  /** One engine becomes five times slower. */
  STRAGGLER(0.8, 1.0) {
    @Override
    void schedule(World world) {
      world.events.after(STRAGGLER_AT, () -> world.engineList.get(0).slow(STRAGGLER_FACTOR));
    }
  },
  /** One engine in each failure domain turns cold without a word, one after the other. */
  COLD(0.7, 1.0) {
    @Override
    void schedule(World world) {
      for (int i = 0; i < DOMAINS; i++) {
        ModelEngine engine = world.engineList.get(i);
        world.events.after(FAULT_AT + i * 10 * SECOND, engine::turnCold);
      }
    }
  },
  /** All cheap engines of one failure domain vanish at once. */
  RECLAIM(0.7, 1.0) {
    @Override
    void schedule(World world) {
      List<ModelEngine> cheap = inDomain(world, 1).subList(0, 3);
      world.events.after(FAULT_AT, () -> cheap.forEach(ModelEngine::crash));
    }
  },
  /** One failure domain is cut off from the others and comes back. */
  CUT(0.6, 1.0) {
    @Override
    void schedule(World world) {
      DomainId domain = domain(1);
      world.events.after(FAULT_AT, () -> world.cutOff(domain));
      world.events.after(FAULT_AT + CUT_NANOS, () -> world.reconnect(domain));
    }
  },
  /** Every engine is down for a while. */
  OUTAGE(0.5, 1.0) {
    @Override
    void schedule(World world) {
      world.events.after(FAULT_AT, () -> world.engineList.forEach(ModelEngine::crash));
      world.events.after(
          FAULT_AT + OUTAGE_NANOS, () -> world.engineList.forEach(ModelEngine::restart));
    }
  },
  /** Many shared prompts and small caches. */
  PREFIX(0.6, 1.0);

  static final long SECOND = 1_000_000_000L;
  static final int DOMAINS = 3;

  private static final double FLOOD_FACTOR = 10;
  private static final double STRAGGLER_FACTOR = 5;
  private static final long STRAGGLER_AT = 2 * SECOND;
  private static final long FAULT_AT = 25 * SECOND;
  private static final long CUT_NANOS = 20 * SECOND;
  private static final long OUTAGE_NANOS = 20 * SECOND;

  private final double load;
  private final double burstFactor;

  Scenario(double load, double burstFactor) {
    this.load = load;
    this.burstFactor = burstFactor;
  }

  /** Returns the load relative to the engines' capacity. */
  double load() {
    return load;
  }

  double burstFactor() {
    return burstFactor;
  }

  WorkloadSettings workload(WorkloadSettings base) {
    return base;
  }

  EngineSettings engines() {
    return EngineSettings.defaults();
  }

  /** Enters the faults. */
  void schedule(World world) {}

  static DomainId domain(int number) {
    return new DomainId("domain-" + (char) ('a' + number));
  }

  private static List<ModelEngine> inDomain(World world, int number) {
    List<ModelEngine> in = new ArrayList<>(world.engineList);
    in.removeIf(e -> !e.domain().equals(domain(number)));
    return Collections.unmodifiableList(in);
  }

  /** Returns the name on the command line. */
  String text() {
    return name().toLowerCase(Locale.ROOT);
  }

  static Optional<Scenario> of(String text) {
    return Arrays.stream(values()).filter(s -> s.text().equals(text)).findFirst();
  }
}
