package io.jacinthquay.decision.dispatch;

import io.jacinthquay.model.DomainId;

/** Says how good an upstream is for a request. */
interface PlacementRule {
  /** What an upstream costs that can't take the request now. */
  double UNFIT = Double.POSITIVE_INFINITY;

  /**
   * Returns the expected time to the first token or to the answer, with what else speaks against
   * the upstream, in milliseconds; {@link #UNFIT} if it has no free place.
   *
   * @param beginning where the beginning of the request's prompt is
   * @param local the failure domain of this router
   */
  double cost(Work work, UpstreamState upstream, Beginning beginning, DomainId local);
}
