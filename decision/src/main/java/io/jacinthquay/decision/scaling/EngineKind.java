package io.jacinthquay.decision.scaling;

import io.jacinthquay.model.DomainId;

/**
 * Upstreams of one market in one failure domain, which the platform counts as one order.
 *
 * @param domain the failure domain
 * @param cheap whether the platform may reclaim them
 */
record EngineKind(DomainId domain, boolean cheap) {}
