package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.dispatch.LoadFigures;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.UpstreamId;
import java.util.List;
import java.util.Map;

/**
 * What a router tells the control VMs of its traffic.
 *
 * @param loads what is under way at each upstream
 * @param counts requests that began, by window and customer
 * @param demand what was asked of each pool since the start
 * @param reads shared beginnings that were sent since the last report
 */
public record ForwardReport(
    Map<UpstreamId, LoadFigures> loads,
    Map<Long, Map<CustomerId, Long>> counts,
    Map<PoolName, PoolDemand> demand,
    List<PrefixRead> reads) {
  /** Copies the maps. */
  public ForwardReport {
    loads = Map.copyOf(loads);
    counts = Map.copyOf(counts);
    demand = Map.copyOf(demand);
    reads = List.copyOf(reads);
  }

  /**
   * Sums since the start of the router.
   *
   * @param requests requests that were admitted
   * @param promptTokens tokens of their prompts that no other request shares
   * @param outputTokens most tokens of their answers
   * @param refused requests that were turned away
   * @param waiting requests that wait now
   * @param late requests whose answer began after their target
   */
  public record PoolDemand(
      long requests, long promptTokens, long outputTokens, long refused, int waiting, long late) {}
}
