package io.jacinthquay.decision.cluster;

/**
 * What routers have observed of one upstream, as sums in which older observations count less.
 *
 * @param readTokens prompt tokens that were ahead of and in requests whose answer began
 * @param readMillis time to the first token of these requests, in milliseconds
 * @param emittedTokens output tokens of streams after their first event
 * @param emitMillis time that these tokens took, in milliseconds
 * @param onTarget answers that were as fast as is usual for the pool
 * @param missed answers that were slower, and requests that failed or were rejected
 */
public record UpstreamEvidence(
    double readTokens,
    double readMillis,
    double emittedTokens,
    double emitMillis,
    double onTarget,
    double missed) {
  /** No observations. */
  public static final UpstreamEvidence NONE = new UpstreamEvidence(0, 0, 0, 0, 0, 0);

  /** Time in which the influence of an observation falls to 37 %, in nanoseconds. */
  private static final double DECAY_NANOS = 5e9;

  /** Sum below which evidence has no influence on a decision. */
  private static final double NEGLIGIBLE = 0.02;

  /** Returns the sum of two sets of observations. */
  public UpstreamEvidence plus(UpstreamEvidence other) {
    return new UpstreamEvidence(
        readTokens + other.readTokens,
        readMillis + other.readMillis,
        emittedTokens + other.emittedTokens,
        emitMillis + other.emitMillis,
        onTarget + other.onTarget,
        missed + other.missed);
  }

  /** Returns these observations without those of another set that they include. */
  public UpstreamEvidence minus(UpstreamEvidence other) {
    return new UpstreamEvidence(
        Math.max(0, readTokens - other.readTokens),
        Math.max(0, readMillis - other.readMillis),
        Math.max(0, emittedTokens - other.emittedTokens),
        Math.max(0, emitMillis - other.emitMillis),
        Math.max(0, onTarget - other.onTarget),
        Math.max(0, missed - other.missed));
  }

  /** Returns the factor by which the influence of observations falls in a time. */
  public static double decay(long nanos) {
    return Math.exp(-nanos / DECAY_NANOS);
  }

  /** Returns these observations with a smaller influence, 0 to 1. */
  public UpstreamEvidence times(double factor) {
    return new UpstreamEvidence(
        readTokens * factor,
        readMillis * factor,
        emittedTokens * factor,
        emitMillis * factor,
        onTarget * factor,
        missed * factor);
  }

  /** Returns whether the observations have decayed so far that they need not be reported. */
  public boolean isNegligible() {
    return readMillis < 1 && emitMillis < 1 && onTarget < NEGLIGIBLE && missed < NEGLIGIBLE;
  }
}
