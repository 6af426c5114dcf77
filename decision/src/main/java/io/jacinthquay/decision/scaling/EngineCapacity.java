package io.jacinthquay.decision.scaling;

import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.model.DomainId;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * What one engine of a pool carries, by failure domain, smoothed over time.
 *
 * <p>Answers engines that are slow for a second now and then, whose pool must not be rebuilt each
 * time, and engines that turn out slower than thought, which must be seen within seconds. Not
 * thread-safe.
 */
final class EngineCapacity {
  /** Prompt rate assumed before anything was observed, in tokens per millisecond. */
  private static final double UNKNOWN_RATE = 38;

  /**
   * Observation time from which the rates count as learned, in milliseconds; five times the weight
   * of the fixed figures in the estimate.
   */
  private static final double LEARNED_MILLIS = 2_000;

  /**
   * Observation time below which the rates are not updated, in milliseconds: without traffic the
   * estimate returns to the fixed figures.
   */
  private static final double MIN_OBSERVED_MILLIS = 500;

  /** Time constant for a rate that falls, in seconds; capacity is missing from then on. */
  private static final double FALL_SECONDS = 3;

  /** Time constant for a rate that rises, in seconds; longer than engines are slow for. */
  private static final double RISE_SECONDS = 10;

  /** Share of its slots that an engine may use on average, as arrivals are uneven. */
  private static final double SLOT_UTILIZATION = 0.7;

  /**
   * Least part of the slots that count when streams are slower than their pause target. Streams
   * that share an engine with prompts are slow whatever their number.
   */
  private static final double MIN_SLOT_FACTOR = 0.5;

  private final Map<DomainId, Double> rates = new HashMap<>();
  private boolean learned;
  private double requestsPerEngine = Double.MAX_VALUE;

  /**
   * Takes new observations into account.
   *
   * @param seconds time since the last observations, in seconds
   */
  void observe(EngineSpeeds speeds, Collection<UpstreamListing> listings, double seconds) {
    double slots =
        listings.stream().mapToInt(UpstreamListing::slots).average().orElse(Double.MAX_VALUE);
    double allowedMillis = speeds.targetMillisPerToken();
    double factor =
        allowedMillis <= 0 || speeds.millisPerToken() <= allowedMillis
            ? 1
            : Math.max(MIN_SLOT_FACTOR, allowedMillis / speeds.millisPerToken());
    requestsPerEngine = Math.max(1, slots * SLOT_UTILIZATION * factor);
    if (speeds.observedMillis() < (learned ? MIN_OBSERVED_MILLIS : LEARNED_MILLIS)) {
      return;
    }
    learned = true;
    speeds
        .promptTokensPerMilli()
        .forEach((domain, rate) -> rates.merge(domain, rate, (a, b) -> approach(a, b, seconds)));
  }

  private static double approach(double old, double observed, double seconds) {
    double timeConstant = observed < old ? FALL_SECONDS : RISE_SECONDS;
    return old + (observed - old) * (1 - Math.exp(-seconds / timeConstant));
  }

  /** Returns whether rates have been learned. */
  boolean isLearned() {
    return learned;
  }

  /** Returns the prompt rate of an engine in a failure domain, in tokens per millisecond. */
  double rate(DomainId domain) {
    return rates.getOrDefault(domain, UNKNOWN_RATE);
  }

  /** Returns how many requests an engine runs with pauses within the targets. */
  double requestsPerEngine() {
    return requestsPerEngine;
  }
}
