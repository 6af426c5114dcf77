package io.jacinthquay.decision.capacity;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.policy.PoolPolicy;
import java.util.List;
import java.util.Objects;

/**
 * The input of the planner for one pool at one instant.
 *
 * @param policy the limits set by the operators
 * @param forecast demand that is unlikely to be exceeded before an upstream ordered now serves
 *     requests
 * @param slots number of requests that one warm upstream can run within the latency targets, 1 or
 *     more
 * @param domains failure domains in which upstreams may run, in a fixed order
 * @param regularPrice price of a regular upstream per hour, 0 or more
 * @param cheapPrice price of a cheap upstream per hour, 0 or more
 */
public record PlanInput(
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
   * @throws NullPointerException if a component is null
   */
  public PlanInput {
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
