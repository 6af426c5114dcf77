package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.dispatch.UpstreamSelector;
import io.jacinthquay.decision.dispatch.UpstreamState;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.StreamId;
import io.jacinthquay.router.port.StreamOrigins;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Origins of streams for a router without control VMs: nothing is remembered, so a stream can go on
 * only while one version of its only pool is listed.
 */
final class ListedOrigins implements StreamOrigins {
  private final UpstreamSelector selector;

  ListedOrigins(UpstreamSelector selector) {
    this.selector = selector;
  }

  @Override
  public void record(StreamId stream, PoolName pool, SoftwareVersion version) {
    // A take-up is answered from the list alone.
  }

  @Override
  public void find(
      Optional<CustomerId> customer,
      Optional<StreamId> stream,
      List<PoolName> pools,
      Consumer<Origin> found) {
    found.accept(pools.size() == 1 ? onlyVersion(pools.get(0)) : Origin.UNKNOWN);
  }

  private Origin onlyVersion(PoolName pool) {
    List<SoftwareVersion> versions =
        selector.states().stream()
            .map(UpstreamState::listing)
            .filter(listing -> listing.pool().equals(pool))
            .map(listing -> listing.version())
            .distinct()
            .toList();
    return versions.size() == 1 ? Origin.of(pool, versions.get(0)) : Origin.UNKNOWN;
  }
}
