package io.jacinthquay.router.service.dispatch;

import io.jacinthquay.decision.admission.AdmissionRequest;
import io.jacinthquay.decision.estimate.OutputEstimator;
import io.jacinthquay.decision.placement.Placement;
import io.jacinthquay.decision.placement.PlacementRequest;
import io.jacinthquay.decision.slots.SlotScope;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.router.service.dispatch.PoolTables.Pool;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/** Creates admission requests from placement decisions and output estimates. */
final class AdmissionRequestFactory {
  /** Maximum number of upstreams that placement ranks for a request. */
  private static final int MAX_PREFERRED = 8;

  private final OutputEstimator estimator = new OutputEstimator();
  private final SplittableRandom random;

  AdmissionRequestFactory(SplittableRandom random) {
    this.random = random;
  }

  /** Returns the admission request, or empty if no upstream can serve the request. */
  Optional<AdmissionRequest> create(DispatchRequest request, Pool pool, long now) {
    List<Placement> ranked = rank(request, request.placement(), pool, now);
    if (ranked.isEmpty() && !request.placement().excluded().isEmpty()) {
      ranked = rank(request, request.placement().excluding(Set.of()), pool, now);
    }
    if (ranked.isEmpty()) {
      return Optional.empty();
    }
    Placement best = ranked.get(0);
    DomainId domain = pool.entries.get(best.upstream()).domain();
    List<UpstreamId> preferred =
        ranked.stream()
            .map(Placement::upstream)
            .filter(id -> pool.entries.get(id).domain().equals(domain))
            .toList();
    return Optional.of(
        new AdmissionRequest(
            request.id(),
            new SlotScope(request.pool(), domain),
            request.className(),
            request.customer(),
            request.deadlineNanos(),
            best.expectedFirstTokenNanos(),
            request.placement().promptTokens() + expectedAfter(request, 0),
            request.idempotent() && request.model().isPresent(),
            request.answerStarted(),
            preferred,
            avoidedUpstreams(request, pool, domain, preferred)));
  }

  private List<Placement> rank(
      DispatchRequest request, PlacementRequest placement, Pool pool, long now) {
    return pool.placer.rank(
        placement, id -> pool.serves(id, request.model()), MAX_PREFERRED, now, random);
  }

  /** Returns the upstreams of the domain that lack the model or have failed the request. */
  private static List<UpstreamId> avoidedUpstreams(
      DispatchRequest request, Pool pool, DomainId domain, List<UpstreamId> preferred) {
    return pool.entries.values().stream()
        .filter(entry -> entry.domain().equals(domain))
        .map(entry -> entry.name())
        .filter(id -> !preferred.contains(id))
        .filter(
            id -> !pool.serves(id, request.model()) || request.placement().excluded().contains(id))
        .toList();
  }

  /** Returns the expected further output tokens after {@code tokens} tokens, 1 or more. */
  long expectedAfter(DispatchRequest request, long tokens) {
    return key(request)
        .map(key -> estimator.expectedAfter(key, tokens, request.maxOutputTokens()))
        .orElse(1L);
  }

  void recordOutput(DispatchRequest request, long tokens) {
    key(request).ifPresent(key -> estimator.finished(key, tokens));
  }

  private static Optional<OutputEstimator.Key> key(DispatchRequest request) {
    return request
        .model()
        .map(model -> new OutputEstimator.Key(request.className(), model, request.customer()));
  }
}
