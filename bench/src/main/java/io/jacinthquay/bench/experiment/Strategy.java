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

/** The ways of routing that are set side by side. */
enum Strategy {
  /** The whole: admission by slots and placement by expected wait. */
  JACINTHQUAY {
    @Override
    RouterNode router(World world, VmId id, DomainId domain, int routers, int batchLimit) {
      return new AdmissionRouter(world, id, domain, Placers::expectedWait);
    }
  },
  /** Placement by expected wait, without admission. */
  EXPECTED_WAIT {
    @Override
    RouterNode router(World world, VmId id, DomainId domain, int routers, int batchLimit) {
      return direct(world, id, domain, Placers::expectedWait);
    }
  },
  /** One engine after the other. */
  ROUND_ROBIN {
    @Override
    RouterNode router(World world, VmId id, DomainId domain, int routers, int batchLimit) {
      return direct(world, id, domain, Placers::roundRobin);
    }
  },
  /** Any engine. */
  RANDOM {
    @Override
    RouterNode router(World world, VmId id, DomainId domain, int routers, int batchLimit) {
      return direct(world, id, domain, Placers::random);
    }
  },
  /** The engine with the fewest own requests. */
  LEAST_IN_FLIGHT {
    @Override
    RouterNode router(World world, VmId id, DomainId domain, int routers, int batchLimit) {
      return direct(world, id, domain, Placers::leastInFlight);
    }
  },
  /** A queue in each router, first come first served. */
  FIRST_COME {
    @Override
    RouterNode router(World world, VmId id, DomainId domain, int routers, int batchLimit) {
      return new FirstComeRouter(world, id, domain, (batchLimit + routers - 1) / routers);
    }
  },
  /** Placement that sees every cache as it is; no real router can. */
  IDEAL_CACHE {
    @Override
    RouterNode router(World world, VmId id, DomainId domain, int routers, int batchLimit) {
      return direct(world, id, domain, table -> new IdealCachePlacer(world, domain));
    }
  };

  abstract RouterNode router(World world, VmId id, DomainId domain, int routers, int batchLimit);

  private static RouterNode direct(
      World world, VmId id, DomainId domain, Function<UpstreamTable, Placer> placers) {
    return new DirectRouter(world, id, domain, placers);
  }

  /** Returns the name on the command line. */
  String text() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  static Optional<Strategy> of(String text) {
    return Arrays.stream(values()).filter(s -> s.text().equals(text)).findFirst();
  }
}
