package io.jacinthquay.decision.capacity;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UpstreamId;

/** A step towards the planned capacity. */
public sealed interface CapacityAction {
  /**
   * Orders a new upstream.
   *
   * @param domain the failure domain in which it starts
   * @param market the market on which it is ordered
   */
  record Start(DomainId domain, Market market) implements CapacityAction {}

  /**
   * Stops sending new requests to an upstream.
   *
   * @param upstream the upstream to drain
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
