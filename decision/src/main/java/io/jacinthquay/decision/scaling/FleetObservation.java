package io.jacinthquay.decision.scaling;

import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.model.DomainId;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * What is known of a pool when it is planned.
 *
 * @param listings the pool's upstreams, including draining ones
 * @param domains failure domains that may contain upstreams
 * @param load load of the pool
 * @param service what callers got recently
 * @param engines how fast engines were observed to be
 */
public record FleetObservation(
    Collection<UpstreamListing> listings,
    Set<DomainId> domains,
    PoolLoad load,
    ServiceQuality service,
    EngineSpeeds engines) {
  /** Checks that all parts are present and copies the collections. */
  public FleetObservation {
    listings = List.copyOf(listings);
    domains = Set.copyOf(domains);
    Objects.requireNonNull(load, "load");
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(engines, "engines");
  }
}
