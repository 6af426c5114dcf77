package io.jacinthquay.decision.scaling;

import io.jacinthquay.model.DomainId;
import java.util.Objects;

/**
 * The number of upstreams of one kind that a pool should have in one failure domain.
 *
 * @param domain the failure domain
 * @param cheap whether upstreams that the platform may reclaim are meant
 * @param count number of upstreams, 0 or more
 */
public record FleetPlan(DomainId domain, boolean cheap, int count) {
  /** Checks that the domain is present. */
  public FleetPlan {
    Objects.requireNonNull(domain, "domain");
  }
}
