package io.jacinthquay.decision.dispatch;

import io.jacinthquay.model.DomainId;

/**
 * Places requests on plain services by the share of their slots in use and, where it is learned, by
 * the time of a call.
 */
final class PlainRule implements PlacementRule {
  /** Cost of a fully used service compared with an idle one, in milliseconds. */
  private static final double FULL_MILLIS = 60;

  /** Cost of traffic between failure domains, in milliseconds. */
  private static final double REMOTE_MILLIS = 8;

  /** The same where rates are learned, in milliseconds: the round trip between domains. */
  private static final double LEARNED_REMOTE_MILLIS = 2;

  private final CurrentRates rates;

  PlainRule(CurrentRates rates) {
    this.rates = rates;
  }

  @Override
  public double cost(
      PoolRequest work, UpstreamState upstream, SharedPrefix prefix, DomainId local) {
    int inFlight = upstream.load().inFlight();
    int slots = upstream.listing().slots();
    if (inFlight >= slots) {
      return UNAVAILABLE;
    }
    double cost = FULL_MILLIS * inFlight / slots;
    boolean remote = !upstream.listing().domain().equals(local);
    if (rates.isLearned()) {
      cost += rates.get().millisPerToken(upstream.listing());
      return remote ? cost + LEARNED_REMOTE_MILLIS : cost;
    }
    return remote ? cost + REMOTE_MILLIS : cost;
  }
}
