package io.jacinthquay.decision.pace;

import io.jacinthquay.decision.cluster.UpstreamEvidence;
import io.jacinthquay.model.UpstreamId;
import java.util.Map;

/**
 * What all routers have observed, as last reported.
 *
 * @param evidence sums of observations by upstream
 * @param ageNanos time since they arrived, in nanoseconds; the sums have decayed since
 */
public record EvidenceView(Map<UpstreamId, UpstreamEvidence> evidence, long ageNanos) {
  /** Time constant with which the sums of observations decay, in nanoseconds. */
  private static final double DECAY_NANOS = 5e9;

  /** Returns the factor by which sums decay in a time. */
  static double decay(long nanos) {
    return Math.exp(-nanos / DECAY_NANOS);
  }

  /** Returns the observations of one upstream, decayed to now. */
  public UpstreamEvidence of(UpstreamId upstream) {
    UpstreamEvidence seen = evidence.get(upstream);
    return seen == null ? UpstreamEvidence.NONE : seen.times(decay(ageNanos));
  }
}
