package io.jacinthquay.decision.placement;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UpstreamId;

/**
 * A snapshot of the state of one upstream, for metrics and status pages.
 *
 * @param id the upstream
 * @param domain its failure domain
 * @param inFlight number of attempts of this router in flight on it
 * @param othersInFlight estimated number of attempts of other routers in flight on it
 * @param slowness its latency relative to the pool; 1 is typical
 * @param ejected whether it receives only probes because of its latency or failures
 * @param leaving whether it receives no new requests because it is leaving
 * @param out whether operators have taken its failure domain out of service
 * @param candidate whether it belongs to the router's stable subset
 * @param reportAgeNanos age of its last load report, in nanoseconds; {@link Long#MAX_VALUE} if
 *     there is none
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
