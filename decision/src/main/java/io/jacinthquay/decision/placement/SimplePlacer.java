package io.jacinthquay.decision.placement;

import io.jacinthquay.model.UpstreamId;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/** A placer that ignores latency and caches. */
abstract class SimplePlacer implements Placer {
  private final UpstreamTable table;

  SimplePlacer(UpstreamTable table) {
    this.table = table;
  }

  @Override
  public final List<Placement> rank(
      PlacementRequest request,
      Predicate<UpstreamId> usable,
      int limit,
      long nowNanos,
      SplittableRandom random) {
    List<UpstreamState> available = new ArrayList<>();
    for (UpstreamState u : table.candidates()) {
      if (u != null && !request.excluded().contains(u.info.id()) && usable.test(u.info.id())) {
        available.add(u);
      }
    }
    List<Placement> ranked = new ArrayList<>();
    while (!available.isEmpty() && ranked.size() < limit) {
      UpstreamState chosen = choose(available, ranked.isEmpty(), random);
      available.remove(chosen);
      ranked.add(new Placement(chosen.info.id(), chosen.domain(), 0, 0, table.isLocal(chosen)));
    }
    return ranked;
  }

  /**
   * Chooses one of the available upstreams.
   *
   * @param first whether this is the first choice for the request
   */
  abstract UpstreamState choose(
      List<UpstreamState> available, boolean first, SplittableRandom random);
}
