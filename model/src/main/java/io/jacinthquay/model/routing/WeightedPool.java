package io.jacinthquay.model.routing;

import io.jacinthquay.model.PoolName;
import java.util.Objects;

/**
 * A pool and its share of a route's traffic.
 *
 * @param pool the pool
 * @param weight the share relative to the other pools of the route, 0 or more
 */
public record WeightedPool(PoolName pool, double weight) {
  /**
   * Validates the weight.
   *
   * @throws IllegalArgumentException if {@code weight} is negative, infinite or not a number
   */
  public WeightedPool {
    Objects.requireNonNull(pool, "pool");
    if (!(weight >= 0) || Double.isInfinite(weight)) {
      throw new IllegalArgumentException("a weight must be finite and 0 or more");
    }
  }
}
