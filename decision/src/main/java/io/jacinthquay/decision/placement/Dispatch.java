package io.jacinthquay.decision.placement;

import io.jacinthquay.model.UpstreamId;

/**
 * The handle of a running attempt, returned by {@link UpstreamTable#recordDispatch} and passed to
 * every later event of the attempt.
 */
public final class Dispatch {
  static final long NOT_OBSERVED = Long.MIN_VALUE;

  final UpstreamState upstream;
  final long startedAt;
  final int missTokens;
  final double predictedNanos;
  final double workTokens;
  final int expectedCachedTokens;
  long firstTokenAt = NOT_OBSERVED;
  long lastTokenAt = NOT_OBSERVED;
  boolean ended;

  Dispatch(
      UpstreamState upstream,
      long startedAt,
      int expectedCachedTokens,
      FirstTokenEstimate estimate) {
    this.upstream = upstream;
    this.startedAt = startedAt;
    this.expectedCachedTokens = expectedCachedTokens;
    this.missTokens = estimate.missTokens();
    this.workTokens = estimate.workTokens();
    this.predictedNanos = estimate.nanos();
  }

  /** Returns the upstream that runs the attempt. */
  public UpstreamId upstream() {
    return upstream.info.id();
  }

  /**
   * Returns the time at which the attempt was sent, on the router's monotonic clock, in
   * nanoseconds.
   */
  public long startedAtNanos() {
    return startedAt;
  }

  /** Returns whether the first token was received. */
  public boolean hasFirstToken() {
    return firstTokenAt != NOT_OBSERVED;
  }
}
