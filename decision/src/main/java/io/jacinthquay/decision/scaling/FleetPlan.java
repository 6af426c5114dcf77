package io.jacinthquay.decision.scaling;

import io.jacinthquay.model.DomainId;
import java.util.Objects;

/**
 * How many upstreams of one sort a pool should have in one failure domain.
 *
 * @param domain the failure domain
 * @param cheap whether those that may be reclaimed are meant
 * @param count how many, 0 or more
 */
public record FleetPlan(DomainId domain, boolean cheap, int count) {
  /** Checks that the domain is present. */
  public FleetPlan {
    Objects.requireNonNull(domain, "domain");
  }
}
