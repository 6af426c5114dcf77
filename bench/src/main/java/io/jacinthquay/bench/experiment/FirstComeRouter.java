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

/** A simulated router with one FIFO queue and an equal share of the batch of every engine. */
final class FirstComeRouter extends RouterNode {
  private final int maxInFlight;
  private final Deque<SimRequest> queue = new ArrayDeque<>();
  private final Map<UpstreamId, Integer> inFlight = new HashMap<>();

  /**
   * Returns a router.
   *
   * @param maxInFlight largest number of requests of this router on one engine
   */
  FirstComeRouter(Simulation simulation, VmId id, DomainId domain, int maxInFlight) {
    super(simulation, id, domain, Placers::leastInFlight);
    this.maxInFlight = maxInFlight;
  }

  @Override
  void enqueue(SimRequest request) {
    queue.add(request);
    dispatchQueued();
  }

  private void dispatchQueued() {
    while (!queue.isEmpty()) {
      Optional<Placement> choice =
          placer.place(
              placementRequest(queue.peek()),
              u -> inFlight.getOrDefault(u, 0) < maxInFlight,
              simulation.now(),
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
  void removeFromQueue(SimRequest request) {
    queue.remove(request);
  }

  @Override
  void onAttemptEnd(Attempt attempt, AttemptEnd end) {
    inFlight.merge(attempt.engine.id(), -1, Integer::sum);
    dispatchQueued();
  }

  @Override
  int priority(SimRequest request) {
    return 0;
  }
}
