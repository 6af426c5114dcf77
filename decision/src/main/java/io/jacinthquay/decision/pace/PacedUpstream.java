package io.jacinthquay.decision.pace;

import io.jacinthquay.decision.cluster.UpstreamEvidence;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.UpstreamId;
import java.util.Objects;

/**
 * An upstream that may get requests, and what all routers have seen of it.
 *
 * @param upstream its id
 * @param pool its pool
 * @param slots requests that it can run concurrently, 1 or more
 * @param own requests of this router that it runs
 * @param inFlight requests of all routers that it runs, as far as this router knows
 * @param evidence observations of all routers
 */
public record PacedUpstream(
    UpstreamId upstream,
    PoolName pool,
    int slots,
    int own,
    int inFlight,
    UpstreamEvidence evidence) {
  /** Checks that all parts are present. */
  public PacedUpstream {
    Objects.requireNonNull(upstream, "upstream");
    Objects.requireNonNull(pool, "pool");
    Objects.requireNonNull(evidence, "evidence");
  }
}
