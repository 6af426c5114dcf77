package io.jacinthquay.controller.port;

import io.jacinthquay.model.PoolName;
import java.util.Objects;

/**
 * The price of running one upstream.
 *
 * @param pool the pool of the upstream
 * @param cheap whether it is of the kind that the platform may take away at any time
 * @param perHour the price of one hour, in the platform's currency, 0 or more
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
      throw new IllegalArgumentException("perHour must not be negative");
    }
  }
}
