package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.learning.LearnedRates;
import io.jacinthquay.decision.learning.LearnedRates.Place;
import io.jacinthquay.decision.learning.RateEstimator;
import io.jacinthquay.model.PoolName;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Shows the learned rates as metrics; read by other threads than the one that updates them. */
final class LearnedRateMetrics {
  /** Maximum number of metrics; pools and failure domains beyond are not shown. */
  private static final int MAX_METRICS = 256;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ForwardMetrics metrics;
  private final Set<Object> shown = new HashSet<>();
  private volatile LearnedRates rates;
  private volatile Map<PoolName, Double> errors = Map.of();
  private volatile long ageMillis;

  LearnedRateMetrics(ForwardMetrics metrics) {
    this.metrics = metrics;
  }

  /** Shows the current rates. */
  void update(LearnedRates current, RateEstimator estimator, long now) {
    if (rates == null) {
      metrics.gauge("jq_forward_learned_age_milliseconds", () -> ageMillis);
    }
    rates = current;
    errors = estimator.errors();
    ageMillis = estimator.remoteAgeNanos(now) / NANOS_PER_MILLI;
    current.places().forEach(this::show);
    errors.keySet().forEach(this::show);
  }

  private boolean isNew(Object key) {
    return shown.size() < MAX_METRICS && shown.add(key);
  }

  private void show(Place place) {
    if (isNew(place)) {
      String labels = "{pool=\"" + place.pool() + "\",domain=\"" + place.domain() + "\"}";
      metrics.gauge(
          "jq_forward_learned_prompt_tokens_per_second" + labels,
          () -> Math.round(1_000 * rates.promptTokensPerMilli(place.pool(), place.domain())));
      metrics.gauge(
          "jq_forward_learned_token_microseconds" + labels,
          () -> Math.round(1_000 * rates.millisPerToken(place.pool(), place.domain())));
    }
  }

  private void show(PoolName pool) {
    if (isNew(pool)) {
      metrics.gauge(
          "jq_forward_learned_error_percent{pool=\"" + pool + "\"}",
          () -> Math.round(100 * errors.getOrDefault(pool, 0.0)));
    }
  }
}
