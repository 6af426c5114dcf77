package io.jacinthquay.decision.dispatch;

import io.jacinthquay.model.DomainId;

/** Places requests on plain services by the share of their slots in use. */
final class PlainRule implements PlacementRule {
  /** Cost of a fully used service compared with an idle one, in milliseconds. */
  private static final double FULL_MILLIS = 60;

  /** Cost of traffic between failure domains, in milliseconds. */
  private static final double REMOTE_MILLIS = 8;

  @Override
  public double cost(
      PoolRequest work, UpstreamState upstream, SharedPrefix prefix, DomainId local) {
    int inFlight = upstream.load().inFlight();
    int slots = upstream.listing().slots();
    if (inFlight >= slots) {
      return UNAVAILABLE;
    }
    double cost = FULL_MILLIS * inFlight / slots;
    return upstream.listing().domain().equals(local) ? cost : cost + REMOTE_MILLIS;
  }
}
