package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.cluster.RouterSignals;
import io.jacinthquay.decision.dispatch.UpstreamLoad;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.UpstreamId;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Traffic figures that a router reports to the control VMs.
 *
 * @param loads load that this router has in flight at each upstream
 * @param counts requests whose answer began, by window and customer
 * @param demand demand on each pool since the router started
 * @param prefixes shared prefixes that were sent since the last report
 * @param signals what this router tells the others if it learns rates; empty otherwise
 * @param quarantine evidence about parts of prompts that may crash upstreams
 */
public record ForwardReport(
    Map<UpstreamId, UpstreamLoad> loads,
    Map<Long, Map<CustomerId, Long>> counts,
    Map<PoolName, PoolDemand> demand,
    List<CachedPrefix> prefixes,
    Optional<RouterSignals> signals,
    QuarantineReport quarantine) {
  /** Copies the maps and the list. */
  public ForwardReport {
    loads = Map.copyOf(loads);
    counts = Map.copyOf(counts);
    demand = Map.copyOf(demand);
    prefixes = List.copyOf(prefixes);
  }

  /**
   * Demand on one pool since the router started.
   *
   * @param requests number of admitted requests
   * @param promptTokens prompt tokens that no cached prefix covers, as estimated
   * @param outputTokens sum of the requests' output token limits
   * @param refused number of refused requests
   * @param waiting number of requests in the queue now
   * @param late number of requests whose answer began after its target time
   */
  public record PoolDemand(
      long requests, long promptTokens, long outputTokens, long refused, int waiting, long late) {}
}
