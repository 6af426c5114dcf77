package io.jacinthquay.decision.dispatch;

import io.jacinthquay.model.DomainId;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/** Rates an upstream for a request. */
interface PlacementRule {
  /** Cost of an upstream that can't take the request now. */
  double UNAVAILABLE = Double.POSITIVE_INFINITY;

  /**
   * Returns the expected time to the first token or to the answer plus other costs, in
   * milliseconds; {@link #UNAVAILABLE} if the upstream has no free capacity.
   *
   * @param prefix shared prefix of the request's prompt
   * @param local the failure domain of this router
   */
  double cost(PoolRequest work, UpstreamState upstream, SharedPrefix prefix, DomainId local);

  /** Returns the upstream of least cost; empty if none has capacity. */
  static Optional<UpstreamState> cheapest(
      List<UpstreamState> compared, ToDoubleFunction<UpstreamState> cost) {
    UpstreamState best = null;
    double leastCost = UNAVAILABLE;
    for (UpstreamState state : compared) {
      double candidateCost = cost.applyAsDouble(state);
      if (candidateCost < leastCost) {
        leastCost = candidateCost;
        best = state;
      }
    }
    return Optional.ofNullable(best);
  }
}
