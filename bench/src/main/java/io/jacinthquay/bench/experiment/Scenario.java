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

/** The load and the faults of an experiment. */
enum Scenario {
  /** Load of twice the capacity, over five tiers. */
  OVERLOAD(2.0, 1.5),
  /** One customer sends ten times its usual requests in one class, through all routers. */
  FLOOD(0.7, 1.0) {
    @Override
    WorkloadSettings workload(WorkloadSettings base) {
      return base.withFlood(FLOOD_FACTOR);
    }
  },
  /** The load of {@link #FLOOD} without the flood, for comparison. */
  CALM(0.7, 1.0),
  /** One engine becomes five times slower. */
  STRAGGLER(0.8, 1.0) {
    @Override
    void scheduleFaults(Simulation simulation) {
      simulation.events.after(
          STRAGGLER_AT_NANOS, () -> simulation.engineList.get(0).setSlowFactor(STRAGGLER_FACTOR));
    }
  },
  /**
   * One engine per failure domain becomes cold, one after the other: it loses its prefix cache and
   * restarts its warm-up without reporting either.
   */
  COLD(0.7, 1.0) {
    @Override
    void scheduleFaults(Simulation simulation) {
      for (int i = 0; i < DOMAINS; i++) {
        ModelEngine engine = simulation.engineList.get(i);
        simulation.events.after(FAULT_AT_NANOS + i * 10 * NANOS_PER_SECOND, engine::resetSilently);
      }
    }
  },
  /** All spot engines of one failure domain, three of them, are reclaimed at the same time. */
  RECLAIM(0.7, 1.0) {
    @Override
    void scheduleFaults(Simulation simulation) {
      List<ModelEngine> spotEngines = inDomain(simulation, 1).subList(0, 3);
      simulation.events.after(FAULT_AT_NANOS, () -> spotEngines.forEach(ModelEngine::crash));
    }
  },
  /** One failure domain is isolated from the others and later reconnected. */
  CUT(0.6, 1.0) {
    @Override
    void scheduleFaults(Simulation simulation) {
      DomainId domain = domain(1);
      simulation.events.after(FAULT_AT_NANOS, () -> simulation.isolate(domain));
      simulation.events.after(FAULT_AT_NANOS + ISOLATION_NANOS, () -> simulation.reconnect(domain));
    }
  },
  /** All engines crash and restart later. */
  OUTAGE(0.5, 1.0) {
    @Override
    void scheduleFaults(Simulation simulation) {
      simulation.events.after(
          FAULT_AT_NANOS, () -> simulation.engineList.forEach(ModelEngine::crash));
      simulation.events.after(
          FAULT_AT_NANOS + OUTAGE_NANOS, () -> simulation.engineList.forEach(ModelEngine::restart));
    }
  },
  /** Many shared prefixes and small caches. */
  PREFIX(0.6, 1.0);

  static final long NANOS_PER_SECOND = 1_000_000_000L;
  static final int DOMAINS = 3;

  private static final double FLOOD_FACTOR = 10;
  private static final double STRAGGLER_FACTOR = 5;
  private static final long STRAGGLER_AT_NANOS = 2 * NANOS_PER_SECOND;
  private static final long FAULT_AT_NANOS = 25 * NANOS_PER_SECOND;
  private static final long ISOLATION_NANOS = 20 * NANOS_PER_SECOND;
  private static final long OUTAGE_NANOS = 20 * NANOS_PER_SECOND;

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

  /** Returns the rate during a burst relative to the mean; 1 for no bursts. */
  double burstFactor() {
    return burstFactor;
  }

  /** Returns the workload of this scenario, derived from a base workload. */
  WorkloadSettings workload(WorkloadSettings base) {
    return base;
  }

  /** Returns the settings of all engines. */
  EngineSettings engineSettings() {
    return EngineSettings.defaults();
  }

  /** Schedules the faults. */
  void scheduleFaults(Simulation simulation) {}

  /** Returns the failure domain with a number, 0 to {@code DOMAINS} - 1. */
  static DomainId domain(int number) {
    return new DomainId("domain-" + (char) ('a' + number));
  }

  private static List<ModelEngine> inDomain(Simulation simulation, int number) {
    List<ModelEngine> engines = new ArrayList<>(simulation.engineList);
    engines.removeIf(e -> !e.domain().equals(domain(number)));
    return Collections.unmodifiableList(engines);
  }

  /** Returns the name on the command line. */
  String commandLineName() {
    return name().toLowerCase(Locale.ROOT);
  }

  static Optional<Scenario> of(String commandLineName) {
    return Arrays.stream(values())
        .filter(s -> s.commandLineName().equals(commandLineName))
        .findFirst();
  }
}
