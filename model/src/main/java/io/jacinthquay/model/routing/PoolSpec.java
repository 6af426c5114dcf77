package io.jacinthquay.model.routing;

import io.jacinthquay.model.PoolName;
import java.util.Objects;
import java.util.Optional;

/**
 * A pool of upstreams that serve the same requests.
 *
 * @param name the pool
 * @param healthPath path of the health check
 * @param connectionLimit connections that one upstream accepts from all routers together
 * @param coldSeconds how long an upstream is cold after its start, in seconds
 * @param coldPerSecond requests that a cold upstream bears a second; 0 if it is never cold
 * @param engine what its model engines hold; absent for plain services
 * @param scaling how upstreams are ordered; absent if they are not
 */
public record PoolSpec(
    PoolName name,
    String healthPath,
    int connectionLimit,
    double coldSeconds,
    double coldPerSecond,
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
