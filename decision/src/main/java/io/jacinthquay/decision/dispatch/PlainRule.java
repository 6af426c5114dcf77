package io.jacinthquay.decision.dispatch;

import io.jacinthquay.model.DomainId;

/** Places requests at plain services by how many of their places are taken. */
final class PlainRule implements PlacementRule {
  /** What a wholly taken service weighs against an idle one, in milliseconds. */
  private static final double FULL_MILLIS = 60;

  /** What bytes between failure domains weigh against time, in milliseconds. */
  private static final double REMOTE_MILLIS = 8;

  @Override
  public double cost(Work work, UpstreamState upstream, Beginning beginning, DomainId local) {
    int inFlight = upstream.load().inFlight();
    int slots = upstream.listing().slots();
    if (inFlight >= slots) {
      return UNFIT;
    }
    double cost = FULL_MILLIS * inFlight / slots;
    return upstream.listing().domain().equals(local) ? cost : cost + REMOTE_MILLIS;
  }
}
