package io.jacinthquay.control.port;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import java.util.Objects;

/**
 * The number of upstreams that a pool should have in one failure domain, either of the regular or
 * of the cheap ones.
 *
 * @param pool the pool
 * @param domain the failure domain
 * @param cheap whether it counts the cheap upstreams, which the platform may reclaim
 * @param count number of upstreams, 0 or more
 */
public record UpstreamOrder(PoolName pool, DomainId domain, boolean cheap, int count) {
  /** Checks that the pool and the domain are not null. */
  public UpstreamOrder {
    Objects.requireNonNull(pool, "pool");
    Objects.requireNonNull(domain, "domain");
  }
}
