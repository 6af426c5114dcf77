package io.jacinthquay.control.port;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import java.util.Objects;

/**
 * How many upstreams of one sort a pool should have in one failure domain.
 *
 * @param pool the pool
 * @param domain the failure domain
 * @param cheap whether those that may be reclaimed are meant
 * @param count how many, 0 or more
 */
public record UpstreamOrder(PoolName pool, DomainId domain, boolean cheap, int count) {
  /** Checks that all parts are present. */
  public UpstreamOrder {
    Objects.requireNonNull(pool, "pool");
    Objects.requireNonNull(domain, "domain");
  }
}
