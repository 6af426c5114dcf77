package io.jacinthquay.model.routing;

import io.jacinthquay.model.DomainId;
import java.util.Map;

/**
 * How many upstreams of a pool may be ordered in each failure domain, and at what price.
 *
 * @param minimum fewest upstreams of one domain, 0 or more
 * @param maximum most upstreams of one domain
 * @param bootSeconds time from an order until the upstream serves, in seconds
 * @param cheapPrice price of a reclaimable upstream relative to a regular one; 0 if there are none
 * @param prices price of a second of a regular upstream by domain
 */
public record ScalingSpec(
    int minimum, int maximum, double bootSeconds, double cheapPrice, Map<DomainId, Double> prices) {
  /**
   * Copies the map and checks the ranges.
   *
   * @throws IllegalArgumentException if the range is empty or negative
   */
  public ScalingSpec {
    prices = Map.copyOf(prices);
    if (minimum < 0 || maximum < minimum) {
      throw new IllegalArgumentException("the range of upstreams is empty");
    }
  }

  /** Returns the price of a regular upstream in a domain; 1 if none is stated. */
  public double price(DomainId domain) {
    return prices.getOrDefault(domain, 1.0);
  }
}
