package io.jacinthquay.bench.experiment;

import io.jacinthquay.decision.placement.Placer;
import io.jacinthquay.decision.placement.Placers;
import io.jacinthquay.decision.placement.UpstreamTable;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.VmId;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Function;

/** The routing strategies that experiments compare. */
enum Strategy {
  /** The full router: admission by slots and placement by expected wait. */
  JACINTHQUAY {
    @Override
    RouterNode router(
        Simulation simulation, VmId id, DomainId domain, int routers, int batchLimit) {
      return new AdmissionRouter(simulation, id, domain, Placers::expectedWait);
    }
  },
  /** Placement by expected wait, without admission. */
  EXPECTED_WAIT {
    @Override
    RouterNode router(
        Simulation simulation, VmId id, DomainId domain, int routers, int batchLimit) {
      return direct(simulation, id, domain, Placers::expectedWait);
    }
  },
  /** Placement on the engines in turn, without admission. */
  ROUND_ROBIN {
    @Override
    RouterNode router(
        Simulation simulation, VmId id, DomainId domain, int routers, int batchLimit) {
      return direct(simulation, id, domain, Placers::roundRobin);
    }
  },
  /** Placement on a random engine, without admission. */
  RANDOM {
    @Override
    RouterNode router(
        Simulation simulation, VmId id, DomainId domain, int routers, int batchLimit) {
      return direct(simulation, id, domain, Placers::random);
    }
  },
  /** Placement on the engine with the fewest requests of this router, without admission. */
  LEAST_IN_FLIGHT {
    @Override
    RouterNode router(
        Simulation simulation, VmId id, DomainId domain, int routers, int batchLimit) {
      return direct(simulation, id, domain, Placers::leastInFlight);
    }
  },
  /** A FIFO queue in each router, which holds an equal share of every batch. */
  FIRST_COME {
    @Override
    RouterNode router(
        Simulation simulation, VmId id, DomainId domain, int routers, int batchLimit) {
      return new FirstComeRouter(simulation, id, domain, (batchLimit + routers - 1) / routers);
    }
  },
  /** Placement with exact knowledge of every cache, which no real router has. */
  IDEAL_CACHE {
    @Override
    RouterNode router(
        Simulation simulation, VmId id, DomainId domain, int routers, int batchLimit) {
      return direct(simulation, id, domain, table -> new IdealCachePlacer(simulation, domain));
    }
  };

  /** Returns a router with this strategy. */
  abstract RouterNode router(
      Simulation simulation, VmId id, DomainId domain, int routers, int batchLimit);

  private static RouterNode direct(
      Simulation simulation, VmId id, DomainId domain, Function<UpstreamTable, Placer> placers) {
    return new DirectRouter(simulation, id, domain, placers);
  }

  /** Returns the name on the command line. */
  String commandLineName() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  static Optional<Strategy> of(String commandLineName) {
    return Arrays.stream(values())
        .filter(s -> s.commandLineName().equals(commandLineName))
        .findFirst();
  }
}
