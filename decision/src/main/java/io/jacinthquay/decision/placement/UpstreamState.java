package io.jacinthquay.decision.placement;

import io.jacinthquay.decision.bearing.LoadReport;
import io.jacinthquay.decision.slots.Rendezvous;
import io.jacinthquay.model.DomainId;

/** What the router knows of one upstream; mutable and owned by one {@link UpstreamTable}. */
final class UpstreamState {
  /** Share of a new latency sample in the moving means. */
  private static final double SAMPLE_WEIGHT = 0.1;

  /** Half-life of a latency reading that is not renewed, in nanoseconds. */
  private static final double FORGET_HALF_LIFE_NANOS = 10e9;

  /** Trust in the hints of an upstream some of whose events were lost, 0 to 1. */
  static final double TRUST_AFTER_GAP = 0.5;

  private static final double MIN_SLOWNESS = 0.25;
  private static final double MAX_SLOWNESS = 50;

  final UpstreamInfo info;
  final DomainCosts domainCosts;
  final long hash;
  final long subsetRank;
  boolean leaving;
  boolean out;

  /** Position among the candidates, or -1 outside the subset. */
  int slot = -1;

  long enteredAt;
  int inFlight;
  long pendingPromptTokens;

  LoadReport report;
  int ownInFlightAtReport;

  double firstTokenRatio = 1;
  double interTokenNanos;
  int samples;
  long observedAt;

  /** Latency relative to the pool at the last reading of the pool. */
  double slowness = 1;

  /** Attempts of other routers at the last reading of the pool. */
  double others;

  int failuresInRow;
  int ejections;
  boolean ejected;
  boolean ejectedForFailure;
  long ejectedUntil;

  /** Confidence that a hinted block is cached, 0 to 1. */
  double hintTrust = 1;

  long cacheSequence;

  UpstreamState(UpstreamInfo info, DomainCosts domainCosts, long subsetRank, long nowNanos) {
    this.domainCosts = domainCosts;
    this.info = info;
    this.hash = Rendezvous.hash(info.id().value());
    this.subsetRank = subsetRank;
    this.enteredAt = nowNanos;
    this.observedAt = nowNanos;
  }

  DomainId domain() {
    return info.domain();
  }

  boolean takesNewWork() {
    return !leaving && !out;
  }

  boolean isProbing(long now) {
    return ejected && now - ejectedUntil >= 0;
  }

  /** Returns the attempts of other routers: the last report, fading towards the pool's mean. */
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
    firstTokenRatio = mix(fadedFirstTokenRatio(now), bounded);
    samples++;
    observedAt = now;
  }

  void observeInterToken(double nanos, long now) {
    interTokenNanos = interTokenNanos == 0 ? nanos : mix(interTokenNanos, nanos);
    observedAt = now;
  }

  private static double mix(double mean, double sample) {
    return mean + SAMPLE_WEIGHT * (sample - mean);
  }

  private double fadedFirstTokenRatio(long now) {
    return 1 + (firstTokenRatio - 1) * remembered(now);
  }

  private double remembered(long now) {
    return Math.pow(0.5, Math.max(0, now - observedAt) / FORGET_HALF_LIFE_NANOS);
  }

  /**
   * Returns the latency relative to the pool, 1 for ordinary; forgets what is not renewed.
   *
   * @param poolInterTokenNanos the pool's median time between tokens; 0 if unknown
   */
  double slowness(long now, double poolInterTokenNanos) {
    double interToken = 1;
    if (poolInterTokenNanos > 0 && interTokenNanos > 0) {
      interToken = 1 + (interTokenNanos / poolInterTokenNanos - 1) * remembered(now);
    }
    double slowness = Math.max(fadedFirstTokenRatio(now), interToken);
    return Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, slowness));
  }

  /** Forgets latency, for instance when the upstream starts to be probed. */
  void forgetLatency(long now) {
    firstTokenRatio = 1;
    interTokenNanos = 0;
    samples = 0;
    observedAt = now;
  }

  /** Weighs hints by how much of what they promised was there, 0 to 1. */
  void observeHint(double share) {
    hintTrust = mix(hintTrust, share);
  }

  UpstreamView view(long now) {
    long age = report == null ? Long.MAX_VALUE : now - report.measuredAtNanos();
    return new UpstreamView(
        info.id(), domain(), inFlight, others, slowness, ejected, leaving, out, slot >= 0, age);
  }
}
