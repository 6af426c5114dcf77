package io.jacinthquay.controller.port;

import io.jacinthquay.model.PoolName;
import java.util.Objects;

/**
 * What one running upstream costs.
 *
 * @param pool the pool
 * @param cheap whether it is of the kind that may vanish at any time
 * @param perHour the price of one running hour, in the platform's currency, 0 or more
 */
public record Price(PoolName pool, boolean cheap, double perHour) {
  /**
   * Checks the range.
   *
   * @throws IllegalArgumentException if {@code perHour} is negative
   */
  public Price {
    Objects.requireNonNull(pool, "pool");
    if (!(perHour >= 0)) {
      throw new IllegalArgumentException("a price must not be negative");
    }
  }
}
