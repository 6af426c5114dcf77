package io.jacinthquay.decision.dispatch;

import io.jacinthquay.decision.learning.FixedRates;
import io.jacinthquay.decision.learning.LearnedFigure;
import io.jacinthquay.decision.learning.LearnedRates;
import io.jacinthquay.decision.learning.RateEstimator;
import io.jacinthquay.decision.learning.RateUse;
import io.jacinthquay.decision.learning.UpstreamRates;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Supplier;

/** The rates on which a router decides now: fixed ones, or those that it has learned. */
final class CurrentRates {
  /** Prefill rate of a slow engine where none is learned, in tokens per millisecond. */
  private static final double SLOW_PREFILL_TOKENS_PER_MILLI = 20;

  /**
   * Share of the learned rate at which an engine still counts as working; engines are 2.5 times
   * slower than usual for 600 ms at a time.
   */
  private static final double SLOW_SHARE = 0.4;

  private static final double NANOS_PER_MILLI = 1e6;

  private final Optional<RateEstimator> estimator;
  private final boolean learned;
  private UpstreamRates rates = new FixedRates();

  /**
   * Returns rates.
   *
   * @param use whether they are observed, and whether decisions use what is observed
   */
  CurrentRates(RateUse use) {
    estimator = use == RateUse.NONE ? Optional.empty() : Optional.of(new RateEstimator());
    learned = use == RateUse.PLACE;
  }

  Optional<RateEstimator> estimator() {
    return estimator;
  }

  boolean isLearned() {
    return learned;
  }

  /** Returns the rates as of the last refresh. */
  UpstreamRates get() {
    return rates;
  }

  /** Computes the learned rates anew if they are due. */
  void refresh(Supplier<Collection<UpstreamListing>> listings, long now) {
    if (learned) {
      estimator.ifPresent(e -> rates = e.rates(listings, now));
    }
  }

  /** Returns the learned rates; those of no observations if none are learned. */
  LearnedRates learned(Supplier<Collection<UpstreamListing>> listings, long now) {
    return estimator.orElseGet(RateEstimator::new).rates(listings, now);
  }

  /** Returns the prefill rate below which an engine is taken for silent, in tokens per ms. */
  double slowTokensPerMilli(UpstreamListing upstream) {
    return isLearned()
        ? SLOW_SHARE * rates.promptTokensPerMilli(upstream)
        : SLOW_PREFILL_TOKENS_PER_MILLI;
  }

  /**
   * Returns the learned figures for a request.
   *
   * @param tokens prompt tokens in it and ahead of it; 0 for a call of a plain service
   */
  Optional<LearnedFigure> figure(UpstreamListing upstream, long tokens, long now) {
    return estimator.map(
        e -> {
          double promptRate = rates.promptTokensPerMilli(upstream);
          double tokenMillis = rates.millisPerToken(upstream);
          return new LearnedFigure(
              promptRate,
              tokenMillis,
              tokens > 0 ? tokens / promptRate : tokenMillis,
              (long) (e.remoteAgeNanos(now) / NANOS_PER_MILLI));
        });
  }
}
