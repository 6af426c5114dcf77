package io.jacinthquay.model.routing;

import io.jacinthquay.model.PoolName;
import java.util.Objects;

/**
 * One pool's part of a route's traffic.
 *
 * @param pool the pool
 * @param weight its share relative to the other pools of the route, 0 or more
 */
public record WeightedPool(PoolName pool, double weight) {
  /**
   * Checks the weight.
   *
   * @throws IllegalArgumentException if {@code weight} is negative or no number
   */
  public WeightedPool {
    Objects.requireNonNull(pool, "pool");
    if (!(weight >= 0) || Double.isInfinite(weight)) {
      throw new IllegalArgumentException("a weight is 0 or more");
    }
  }
}
