package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.cluster.UpstreamEvidence;
import io.jacinthquay.decision.dispatch.SentRequest;
import io.jacinthquay.decision.dispatch.UpstreamSelector;
import io.jacinthquay.model.UpstreamId;
import java.util.Map;
import java.util.Optional;

/** Connects the estimator of rates with the sends of a router, its reports and its metrics. */
final class RateLearning {
  private final UpstreamSelector selector;
  private final LearnedRateMetrics metrics;

  RateLearning(UpstreamSelector selector, ForwardMetrics metrics) {
    this.selector = selector;
    this.metrics = new LearnedRateMetrics(metrics);
  }

  /** Returns what records the speed of a send; empty if rates are not learned. */
  Optional<SendEvidence> evidence(SentRequest sending, boolean resumed) {
    return selector
        .estimator()
        .flatMap(
            estimator ->
                sending
                    .figure()
                    .map(
                        figure ->
                            new SendEvidence(
                                estimator,
                                sending,
                                figure,
                                selector.tokensPerEvent(sending.work().pool()),
                                resumed)));
  }

  /** Returns the observations for a report and updates the metrics; empty if none are made. */
  Map<UpstreamId, UpstreamEvidence> reported(long now) {
    return selector
        .estimator()
        .map(
            estimator -> {
              metrics.update(selector.learnedRates(now), estimator, now);
              return estimator.own().reported(now);
            })
        .orElse(Map.of());
  }
}
