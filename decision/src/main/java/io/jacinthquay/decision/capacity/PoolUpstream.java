package io.jacinthquay.decision.capacity;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UpstreamId;
import java.util.Objects;

/**
 * One upstream of a pool, as the planner sees it.
 *
 * @param id the upstream
 * @param domain its failure domain
 * @param market its kind
 * @param phase where it is in its life
 * @param running requests that it runs now, 0 or more
 */
public record PoolUpstream(
    UpstreamId id, DomainId domain, Market market, Phase phase, int running) {
  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if {@code running} is negative
   * @throws NullPointerException if a part is missing
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

  /** Returns whether the upstream counts as capacity, now or soon. */
  public boolean counts() {
    return phase != Phase.DRAINING;
  }
}
