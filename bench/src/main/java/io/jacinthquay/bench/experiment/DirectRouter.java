package io.jacinthquay.bench.experiment;

import io.jacinthquay.decision.placement.AttemptEnd;
import io.jacinthquay.decision.placement.Placer;
import io.jacinthquay.decision.placement.UpstreamTable;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.VmId;
import java.util.function.Function;

/** A simulated router without admission, which sends every request to an engine at once. */
final class DirectRouter extends RouterNode {
  DirectRouter(
      Simulation simulation, VmId id, DomainId domain, Function<UpstreamTable, Placer> placers) {
    super(simulation, id, domain, placers);
  }

  @Override
  void enqueue(SimRequest request) {
    placer
        .place(placementRequest(request), u -> true, simulation.now(), random)
        .ifPresentOrElse(p -> send(request, p.upstream()), () -> reject(request));
  }

  @Override
  void removeFromQueue(SimRequest request) {}

  @Override
  void onAttemptEnd(Attempt attempt, AttemptEnd end) {}

  @Override
  int priority(SimRequest request) {
    return 0;
  }
}
