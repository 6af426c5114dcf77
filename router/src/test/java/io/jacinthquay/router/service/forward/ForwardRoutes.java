package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.routing.RouteTable;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.RouteName;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.routing.PoolSpec;
import io.jacinthquay.model.routing.RequestKind;
import io.jacinthquay.model.routing.RouteRule;
import io.jacinthquay.model.routing.RoutingDocument;
import io.jacinthquay.model.routing.WeightedPool;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Routes of every kind, and routing documents that contain them. */
final class ForwardRoutes {
  /** The pool whose upstreams are listed. */
  static final PoolName POOL = new PoolName("p");

  private static final PoolName UNSERVED = new PoolName("q");
  private static final int LIMIT_MILLIS = 60_000;
  private static final int TARGET_MILLIS = 20_000;

  /** All routes: each kind, with and without resumption, with one and two attempts. */
  static final List<RouteRule> ALL = all();

  private ForwardRoutes() {}

  private static List<RouteRule> all() {
    List<RouteRule> routes = new ArrayList<>();
    for (int attempts = 1; attempts <= 2; attempts++) {
      routes.add(route("once", RequestKind.NON_IDEMPOTENT, attempts, false));
      routes.add(route("safe", RequestKind.IDEMPOTENT, attempts, false));
      routes.add(route("stream", RequestKind.STREAMING, attempts, false));
      routes.add(route("resume", RequestKind.STREAMING, attempts, true));
    }
    return routes;
  }

  private static RouteRule route(String name, RequestKind kind, int attempts, boolean resumable) {
    return new RouteRule(
        new RouteName(name + attempts),
        MinimalForwardProtocol.HOST,
        "/" + name + attempts + "/",
        kind,
        LIMIT_MILLIS,
        TARGET_MILLIS,
        new Tier(attempts),
        List.of(new WeightedPool(POOL, 1)),
        attempts,
        true,
        false,
        resumable,
        0);
  }

  /** Returns the index of a route in {@link #ALL}. */
  static int index(String name) {
    for (int i = 0; i < ALL.size(); i++) {
      if (ALL.get(i).name().value().equals(name)) {
        return i;
      }
    }
    throw new IllegalArgumentException("no route " + name);
  }

  /**
   * Returns a document that, depending on {@code detail}, has all routes, only the pool, or routes
   * to a pool without upstreams.
   */
  static RouteTable table(long version, int detail) {
    boolean served = detail % 4 != 3;
    boolean routed = detail % 4 < 2;
    PoolName pool = served ? POOL : UNSERVED;
    return new RouteTable(
        new RoutingDocument(
            version,
            routed || !served
                ? ALL.stream().map(route -> withPool(pool, route)).toList()
                : List.of(),
            List.of(new PoolSpec(pool, "/health", 10, 0, 0, Optional.empty(), Optional.empty())),
            false,
            List.of()));
  }

  private static RouteRule withPool(PoolName pool, RouteRule route) {
    return new RouteRule(
        route.name(),
        route.host(),
        route.pathPrefix(),
        route.kind(),
        route.timeoutMillis(),
        route.targetMillis(),
        route.tier(),
        List.of(new WeightedPool(pool, 1)),
        route.maxAttempts(),
        route.open(),
        route.promptInHeaders(),
        route.resumable(),
        route.gapTargetMillis());
  }
}
