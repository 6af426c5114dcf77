package io.jacinthquay.bench.experiment;

import io.jacinthquay.decision.placement.AttemptEnd;
import io.jacinthquay.decision.placement.Placer;
import io.jacinthquay.decision.placement.UpstreamTable;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.VmId;
import java.util.function.Function;

/** A router without admission: every request goes to an engine at once. */
final class DirectRouter extends RouterNode {
  DirectRouter(World world, VmId id, DomainId domain, Function<UpstreamTable, Placer> placers) {
    super(world, id, domain, placers);
  }

  @Override
  void enqueue(SimRequest request) {
    placer
        .place(placement(request), u -> true, world.now(), random)
        .ifPresentOrElse(p -> send(request, p.upstream()), () -> refused(request));
  }

  @Override
  void withdraw(SimRequest request) {}

  @Override
  void freed(Attempt attempt, AttemptEnd end) {}

  @Override
  int priority(SimRequest request) {
    return 0;
  }
}
