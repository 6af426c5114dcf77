package io.jacinthquay.bench.experiment;

import io.jacinthquay.bench.engine.ModelEngine;
import io.jacinthquay.decision.placement.Placement;
import io.jacinthquay.decision.placement.PlacementRequest;
import io.jacinthquay.decision.placement.Placer;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UpstreamId;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/** A placer for comparison that knows the current cache and load of every engine exactly. */
final class IdealCachePlacer implements Placer {
  private final Simulation simulation;
  private final DomainId local;

  IdealCachePlacer(Simulation simulation, DomainId local) {
    this.simulation = simulation;
    this.local = local;
  }

  @Override
  public List<Placement> rank(
      PlacementRequest request,
      Predicate<UpstreamId> usable,
      int limit,
      long nowNanos,
      SplittableRandom random) {
    return simulation.engineList.stream()
        .filter(e -> e.isUp() && usable.test(e.id()) && !request.excluded().contains(e.id()))
        .sorted(
            Comparator.comparingInt((ModelEngine e) -> -e.cachedTokens(request.prefix()))
                .thenComparingInt(ModelEngine::load))
        .limit(limit)
        .map(e -> new Placement(e.id(), e.domain(), 0, 0, e.domain().equals(local)))
        .toList();
  }
}
