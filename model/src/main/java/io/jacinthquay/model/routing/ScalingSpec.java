package io.jacinthquay.model.routing;

import io.jacinthquay.model.DomainId;
import java.util.Map;

/**
 * The limits on the number of upstreams of a pool per failure domain, and their prices.
 *
 * @param minimum minimum number of upstreams per failure domain, 0 or more
 * @param maximum maximum number of upstreams per failure domain
 * @param bootSeconds time from an order until the upstream serves requests, in seconds
 * @param cheapPriceRatio price of a spot upstream relative to a regular one; 0 if there are no spot
 *     upstreams
 * @param prices price of a regular upstream per second, by failure domain
 */
public record ScalingSpec(
    int minimum,
    int maximum,
    double bootSeconds,
    double cheapPriceRatio,
    Map<DomainId, Double> prices) {
  /**
   * Copies the map and validates the ranges.
   *
   * @throws IllegalArgumentException if {@code minimum} is negative or above {@code maximum}
   */
  public ScalingSpec {
    prices = Map.copyOf(prices);
    if (minimum < 0 || maximum < minimum) {
      throw new IllegalArgumentException("the minimum of upstreams must be from 0 to the maximum");
    }
  }

  /**
   * Returns the price of a regular upstream per second in a failure domain; 1 if not configured.
   */
  public double price(DomainId domain) {
    return prices.getOrDefault(domain, 1.0);
  }
}
