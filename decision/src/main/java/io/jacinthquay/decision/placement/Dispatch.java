package io.jacinthquay.decision.placement;

import io.jacinthquay.model.UpstreamId;

/**
 * One attempt under way; obtained from {@link UpstreamTable#dispatched} and handed back with every
 * later event of the attempt.
 */
public final class Dispatch {
  static final long NONE = Long.MIN_VALUE;

  final UpstreamState upstream;
  final long startedAt;
  final int missTokens;
  final double predictedNanos;
  final double workTokens;
  final int expectedCachedTokens;
  long firstTokenAt = NONE;
  long lastTokenAt = NONE;
  boolean ended;

  Dispatch(UpstreamState upstream, long startedAt, int expectedCachedTokens, FirstTokenEstimate e) {
    this.upstream = upstream;
    this.startedAt = startedAt;
    this.expectedCachedTokens = expectedCachedTokens;
    this.missTokens = e.missTokens();
    this.workTokens = e.workTokens();
    this.predictedNanos = e.nanos();
  }

  /** Returns the upstream that runs the attempt. */
  public UpstreamId upstream() {
    return upstream.info.id();
  }

  /** Returns when the attempt was sent, on the router's monotonic clock, in nanoseconds. */
  public long startedAtNanos() {
    return startedAt;
  }

  /** Returns whether the first token has come. */
  public boolean hasFirstToken() {
    return firstTokenAt != NONE;
  }
}
