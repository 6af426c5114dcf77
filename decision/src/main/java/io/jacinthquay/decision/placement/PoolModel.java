package io.jacinthquay.decision.placement;

import java.util.Arrays;

/** A model of the whole pool: its mean load and the latency of a typical upstream. */
final class PoolModel {
  /** Age at which the pool's means are updated before use, in nanoseconds. */
  private static final long REFRESH_NANOS = 50_000_000;

  /** Assumed time between tokens until one is observed, in nanoseconds. */
  private static final double DEFAULT_INTER_TOKEN_NANOS = 30e6;

  /** Assumed prefill time per prompt token until one is observed, in nanoseconds. */
  private static final double DEFAULT_PROMPT_TOKEN_NANOS = 100e3;

  /** Assumed time of a complete answer until one is observed, in nanoseconds. */
  private static final double DEFAULT_SERVICE_NANOS = 5e9;

  /** Assumed concurrency limit of an upstream that reports none, in requests. */
  private static final int DEFAULT_BATCH_LIMIT = 32;

  /**
   * Weight of the assumed prefill rate, in prompt tokens. It equals a prompt of typical length, so
   * that one slow answer to a short prompt does not determine the rate of the whole pool.
   */
  private static final double DEFAULT_OBSERVED_TOKENS = 1_000;

  /** Weight that earlier samples keep when a new one is added, 0 to 1. */
  private static final double RETAINED_WEIGHT = 0.995;

  /** Slowness at or above which an upstream's samples are not used for the typical upstream. */
  private static final double MAX_TYPICAL_SLOWNESS = 2;

  /** Number of tokens after the first whose delay is part of the cost of a placement. */
  private static final int DECODE_STEPS = 8;

  private final PlacementSettings settings;
  private long refreshedAt = Long.MIN_VALUE;
  private double meanInFlight;
  private double meanOthers;
  private double establishedInFlight = -1;
  private double interTokenNanos;
  private double observedNanos = DEFAULT_OBSERVED_TOKENS * DEFAULT_PROMPT_TOKEN_NANOS;
  private double observedTokens = DEFAULT_OBSERVED_TOKENS;
  private double serviceNanos = DEFAULT_SERVICE_NANOS;

  PoolModel(PlacementSettings settings) {
    this.settings = settings;
  }

  /** Updates the means if the last update is too old, and returns whether it did. */
  boolean refresh(UpstreamState[] candidates, long now) {
    if (refreshedAt != Long.MIN_VALUE && now - refreshedAt < REFRESH_NANOS) {
      return false;
    }
    refreshedAt = now;
    updateLatency(candidates);
    updateLoad(candidates, now);
    for (UpstreamState u : candidates) {
      if (u != null) {
        u.slowness = u.slowness(now, interTokenNanos);
        u.others = u.others(now, meanOthers, settings.reportHalfLifeNanos());
      }
    }
    return true;
  }

  /**
   * Makes the next call to {@link #refresh} update the means, for example because the candidates
   * changed.
   */
  void invalidate() {
    refreshedAt = Long.MIN_VALUE;
  }

  private void updateLatency(UpstreamState[] candidates) {
    double[] samples = new double[candidates.length];
    int count = 0;
    for (UpstreamState u : candidates) {
      if (u != null && u.interTokenNanos > 0) {
        samples[count++] = u.interTokenNanos;
      }
    }
    if (count > 0) {
      Arrays.sort(samples, 0, count);
      interTokenNanos = samples[(count - 1) / 2];
    }
  }

  private void updateLoad(UpstreamState[] candidates, long now) {
    double own = 0;
    double others = 0;
    double established = 0;
    int count = 0;
    int reportCount = 0;
    int establishedCount = 0;
    for (UpstreamState u : candidates) {
      if (u == null) {
        continue;
      }
      count++;
      own += u.inFlight;
      if (u.report != null) {
        reportCount++;
        others += u.reportedOthers();
      }
      if (!isRamping(u, now) && !u.ejected) {
        establishedCount++;
        established += u.inFlight;
      }
    }
    meanOthers = reportCount == 0 ? 0 : others / reportCount;
    meanInFlight = count == 0 ? 0 : own / count + meanOthers;
    establishedInFlight = establishedCount == 0 ? -1 : established / establishedCount;
  }

  private boolean isRamping(UpstreamState u, long now) {
    return now - u.enteredAt < settings.rampNanos();
  }

  /** Returns whether a new or returning upstream already has its ramp-up share of the requests. */
  boolean isAboveRampShare(UpstreamState u, long now) {
    if (establishedInFlight < 0 || !isRamping(u, now)) {
      return false;
    }
    double share = (double) Math.max(0, now - u.enteredAt) / settings.rampNanos();
    return u.inFlight >= Math.max(1, Math.ceil(establishedInFlight * share));
  }

  /**
   * Returns whether the load of an upstream exceeds the mean by so much that affinity is ignored.
   */
  boolean isAboveLoadBound(UpstreamState u) {
    return u.inFlight + u.others > settings.loadBound() * meanInFlight + 1;
  }

  double meanOthers() {
    return meanOthers;
  }

  double interTokenNanos() {
    return interTokenNanos > 0 ? interTokenNanos : DEFAULT_INTER_TOKEN_NANOS;
  }

  double promptTokenNanos() {
    return observedNanos / observedTokens;
  }

  /**
   * Returns the expected time to the first token on an upstream of typical speed with this load.
   */
  FirstTokenEstimate firstToken(UpstreamState u, int missTokens) {
    double work = u.pendingPromptTokens + missTokens;
    double nanos = interTokenNanos() + promptTokenNanos() * work + queueNanos(u);
    return new FirstTokenEstimate(nanos, work, missTokens);
  }

  private double queueNanos(UpstreamState u) {
    int limit = u.batchLimit(DEFAULT_BATCH_LIMIT);
    double excess = u.inFlight + u.others + 1 - limit;
    return excess <= 0 ? 0 : excess / limit * serviceNanos;
  }

  /**
   * Returns the cost of a placement: the expected time to the first tokens, in nanoseconds, scaled
   * by the upstream's slowness.
   */
  double cost(UpstreamState u, double missTokens) {
    double work = u.pendingPromptTokens + missTokens;
    double wait = interTokenNanos() + promptTokenNanos() * work + queueNanos(u);
    double utilisation = (u.inFlight + u.others) / u.batchLimit(DEFAULT_BATCH_LIMIT);
    return u.slowness * (wait + DECODE_STEPS * interTokenNanos() * utilisation);
  }

  void observeFirstToken(Dispatch dispatch, long now) {
    double observed = now - dispatch.startedAt;
    dispatch.upstream.observeFirstToken(observed / dispatch.predictedNanos, now);
    if (dispatch.upstream.slowness < MAX_TYPICAL_SLOWNESS && dispatch.workTokens > 0) {
      double compute = Math.max(0, observed - interTokenNanos());
      observedNanos = observedNanos * RETAINED_WEIGHT + compute;
      observedTokens = observedTokens * RETAINED_WEIGHT + dispatch.workTokens;
    }
  }

  void observeCompletion(Dispatch dispatch, long now) {
    serviceNanos += (1 - RETAINED_WEIGHT) * (now - dispatch.startedAt - serviceNanos);
  }
}
