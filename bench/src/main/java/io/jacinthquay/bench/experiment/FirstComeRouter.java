package io.jacinthquay.bench.experiment;

import io.jacinthquay.decision.placement.AttemptEnd;
import io.jacinthquay.decision.placement.Placement;
import io.jacinthquay.decision.placement.Placers;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.VmId;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** A router with one queue, first come first served, and an equal share of every engine's batch. */
final class FirstComeRouter extends RouterNode {
  private final int limit;
  private final Deque<SimRequest> queue = new ArrayDeque<>();
  private final Map<UpstreamId, Integer> inFlight = new HashMap<>();

  /**
   * Returns a router.
   *
   * @param limit most own requests on one engine
   */
  FirstComeRouter(World world, VmId id, DomainId domain, int limit) {
    super(world, id, domain, Placers::leastInFlight);
    this.limit = limit;
  }

  @Override
  void enqueue(SimRequest request) {
    queue.add(request);
    drain();
  }

  private void drain() {
    while (!queue.isEmpty()) {
      Optional<Placement> choice =
          placer.place(
              placement(queue.peek()),
              u -> inFlight.getOrDefault(u, 0) < limit,
              world.now(),
              random);
      if (choice.isEmpty()) {
        return;
      }
      UpstreamId upstream = choice.get().upstream();
      inFlight.merge(upstream, 1, Integer::sum);
      send(queue.poll(), upstream);
    }
  }

  @Override
  void withdraw(SimRequest request) {
    queue.remove(request);
  }

  @Override
  void freed(Attempt attempt, AttemptEnd end) {
    inFlight.merge(attempt.engine.id(), -1, Integer::sum);
    drain();
  }

  @Override
  int priority(SimRequest request) {
    return 0;
  }
}
