package io.jacinthquay.decision.placement;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UpstreamId;

/**
 * What the router knows of one upstream at one time, for metrics and status pages.
 *
 * @param id the upstream
 * @param domain its failure domain
 * @param inFlight attempts of this router that run on it
 * @param othersInFlight estimate of the attempts of other routers
 * @param slowness its latency relative to the pool; 1 is ordinary
 * @param ejected whether it gets no work but probes because of its latency or failures
 * @param leaving whether it gets no new work because it leaves
 * @param out whether operators have taken its failure domain out
 * @param candidate whether it belongs to the router's stable subset
 * @param reportAgeNanos age of its last load report, in nanoseconds; {@link Long#MAX_VALUE} without
 *     one
 */
public record UpstreamView(
    UpstreamId id,
    DomainId domain,
    int inFlight,
    double othersInFlight,
    double slowness,
    boolean ejected,
    boolean leaving,
    boolean out,
    boolean candidate,
    long reportAgeNanos) {}
