package io.jacinthquay.decision.capacity;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.policy.PoolPolicy;
import java.util.List;
import java.util.Objects;

/**
 * What the planner decides by, for one pool at one instant.
 *
 * @param policy the operators' bounds
 * @param forecast demand that is seldom exceeded until a start ordered now serves
 * @param slots requests that one warm upstream runs within the targets, 1 or more
 * @param domains failure domains that may get upstreams, in a fixed order
 * @param regularPrice price of a regular upstream per hour, 0 or more
 * @param cheapPrice price of a cheap upstream per hour, 0 or more
 */
public record PoolNeeds(
    PoolPolicy policy,
    Demand forecast,
    double slots,
    List<DomainId> domains,
    double regularPrice,
    double cheapPrice) {
  /**
   * Checks the ranges and copies the list.
   *
   * @throws IllegalArgumentException if a value is out of range
   * @throws NullPointerException if a part is missing
   */
  public PoolNeeds {
    Objects.requireNonNull(policy, "policy");
    Objects.requireNonNull(forecast, "forecast");
    domains = List.copyOf(domains);
    if (!(slots >= 1)) {
      throw new IllegalArgumentException("slots must be 1 or more");
    }
    if (!(regularPrice >= 0 && cheapPrice >= 0)) {
      throw new IllegalArgumentException("prices must not be negative");
    }
  }
}
