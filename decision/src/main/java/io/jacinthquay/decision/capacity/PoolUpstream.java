package io.jacinthquay.decision.capacity;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UpstreamId;
import java.util.Objects;

/**
 * The planner's view of one upstream of a pool.
 *
 * @param id the upstream
 * @param domain its failure domain
 * @param market its market
 * @param phase the phase of its life cycle
 * @param running number of requests that it runs now, 0 or more
 */
public record PoolUpstream(
    UpstreamId id, DomainId domain, Market market, Phase phase, int running) {
  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if {@code running} is negative
   * @throws NullPointerException if a component is null
   */
  public PoolUpstream {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(market, "market");
    Objects.requireNonNull(phase, "phase");
    if (running < 0) {
      throw new IllegalArgumentException("running must not be negative");
    }
  }

  /** Returns whether the upstream provides capacity now or will do so after its start. */
  public boolean countsAsCapacity() {
    return phase != Phase.DRAINING;
  }
}
