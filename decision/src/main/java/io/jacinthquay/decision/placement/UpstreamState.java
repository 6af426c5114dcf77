package io.jacinthquay.decision.placement;

import io.jacinthquay.decision.bearing.LoadReport;
import io.jacinthquay.decision.slots.RendezvousHash;
import io.jacinthquay.model.DomainId;

/** The mutable state of one upstream, owned by one {@link UpstreamTable}. */
final class UpstreamState {
  /** Weight of a new sample in the moving means, 0 to 1. */
  private static final double SAMPLE_WEIGHT = 0.1;

  /** Half-life of a latency deviation while no new sample is observed, in nanoseconds. */
  private static final double LATENCY_HALF_LIFE_NANOS = 10e9;

  /**
   * Maximum confidence in the cache hints of an upstream some of whose events were lost, 0 to 1.
   */
  static final double CONFIDENCE_AFTER_GAP = 0.5;

  private static final double MIN_SLOWNESS = 0.25;
  private static final double MAX_SLOWNESS = 50;

  final UpstreamInfo info;
  final DomainCosts domainCosts;
  final long hash;
  final long subsetRank;
  boolean leaving;
  boolean domainOut;

  /** Position among the candidates, or -1 outside the subset. */
  int slot = -1;

  long enteredAt;
  int inFlight;
  long pendingPromptTokens;

  LoadReport report;
  int ownInFlightAtReport;

  double firstTokenRatio = 1;
  double interTokenNanos;
  int latencySamples;
  long observedAt;

  /** Latency relative to the pool at the last update of the pool's means. */
  double slowness = 1;

  /** Estimated attempts of other routers at the last update of the pool's means. */
  double others;

  int consecutiveFailures;
  int ejections;
  boolean ejected;
  boolean ejectedForFailure;
  long ejectedUntil;

  /** Confidence that a block known from cache events is still cached, 0 to 1. */
  double hintConfidence = 1;

  long cacheSequence;

  UpstreamState(UpstreamInfo info, DomainCosts domainCosts, long subsetRank, long nowNanos) {
    this.domainCosts = domainCosts;
    this.info = info;
    this.hash = RendezvousHash.hash(info.id().value());
    this.subsetRank = subsetRank;
    this.enteredAt = nowNanos;
    this.observedAt = nowNanos;
  }

  DomainId domain() {
    return info.domain();
  }

  boolean takesNewWork() {
    return !leaving && !domainOut;
  }

  boolean isProbing(long now) {
    return ejected && now - ejectedUntil >= 0;
  }

  /**
   * Returns the estimated attempts of other routers: the last report, which decays towards the
   * pool's mean.
   */
  double others(long now, double poolMean, long halfLifeNanos) {
    if (report == null) {
      return poolMean;
    }
    double age = Math.max(0, now - report.measuredAtNanos());
    double weight = Math.pow(0.5, age / halfLifeNanos);
    return weight * reportedOthers() + (1 - weight) * poolMean;
  }

  double reportedOthers() {
    return Math.max(0, report.running() + report.queued() - ownInFlightAtReport);
  }

  int batchLimit(int defaultLimit) {
    return report == null || report.stated() == 0 ? defaultLimit : report.stated();
  }

  void observeFirstToken(double ratio, long now) {
    double bounded = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, ratio));
    firstTokenRatio = movingMean(decayedFirstTokenRatio(now), bounded);
    latencySamples++;
    observedAt = now;
  }

  void observeInterToken(double nanos, long now) {
    interTokenNanos = interTokenNanos == 0 ? nanos : movingMean(interTokenNanos, nanos);
    observedAt = now;
  }

  private static double movingMean(double mean, double sample) {
    return mean + SAMPLE_WEIGHT * (sample - mean);
  }

  private double decayedFirstTokenRatio(long now) {
    return 1 + (firstTokenRatio - 1) * decay(now);
  }

  private double decay(long now) {
    return Math.pow(0.5, Math.max(0, now - observedAt) / LATENCY_HALF_LIFE_NANOS);
  }

  /**
   * Returns the latency relative to the pool, where 1 is typical. It decays towards 1 while no new
   * sample is observed.
   *
   * @param poolInterTokenNanos the pool's median time between tokens, in nanoseconds; 0 if unknown
   */
  double slowness(long now, double poolInterTokenNanos) {
    double interToken = 1;
    if (poolInterTokenNanos > 0 && interTokenNanos > 0) {
      interToken = 1 + (interTokenNanos / poolInterTokenNanos - 1) * decay(now);
    }
    double slowness = Math.max(decayedFirstTokenRatio(now), interToken);
    return Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, slowness));
  }

  /** Resets the latency, for example when the upstream is ejected. */
  void resetLatency(long now) {
    firstTokenRatio = 1;
    interTokenNanos = 0;
    latencySamples = 0;
    observedAt = now;
  }

  /**
   * Updates the confidence in cache hints by the share of the expected tokens that was cached, 0 to
   * 1.
   */
  void observeHint(double share) {
    hintConfidence = movingMean(hintConfidence, share);
  }

  UpstreamView view(long now) {
    long age = report == null ? Long.MAX_VALUE : now - report.measuredAtNanos();
    return new UpstreamView(
        info.id(), domain(), inFlight, others, slowness, ejected, leaving, domainOut, slot >= 0,
        age);
  }
}
