package io.jacinthquay.model.routing;

import io.jacinthquay.model.PoolName;
import java.util.Objects;
import java.util.Optional;

/**
 * The specification of a pool of interchangeable upstreams.
 *
 * @param name the name of the pool
 * @param healthPath the path of the health check
 * @param connectionLimit maximum number of connections to one upstream from all routers together
 * @param coldStartSeconds duration of a cold start, counted from the start of an upstream, in
 *     seconds
 * @param coldRequestsPerSecond rate that an upstream can serve during its cold start, in requests
 *     per second; 0 if upstreams have no cold start
 * @param engine the specification of its model engines; empty for plain services
 * @param scaling the limits and prices of scaling; empty if the pool is not scaled
 */
public record PoolSpec(
    PoolName name,
    String healthPath,
    int connectionLimit,
    double coldStartSeconds,
    double coldRequestsPerSecond,
    Optional<EngineSpec> engine,
    Optional<ScalingSpec> scaling) {
  /** Checks that all parts are present. */
  public PoolSpec {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(healthPath, "healthPath");
    Objects.requireNonNull(engine, "engine");
    Objects.requireNonNull(scaling, "scaling");
  }
}
