package io.jacinthquay.decision.capacity;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UpstreamId;

/** One step towards the wanted capacity. */
public sealed interface CapacityAction {
  /**
   * Orders a new upstream.
   *
   * @param domain the failure domain
   * @param market the kind
   */
  record Start(DomainId domain, Market market) implements CapacityAction {}

  /**
   * Gives an upstream no new work.
   *
   * @param upstream the upstream
   */
  record Drain(UpstreamId upstream) implements CapacityAction {}

  /**
   * Orders a drained upstream to stop.
   *
   * @param upstream the upstream
   * @param domain its failure domain
   */
  record Stop(UpstreamId upstream, DomainId domain) implements CapacityAction {}
}
