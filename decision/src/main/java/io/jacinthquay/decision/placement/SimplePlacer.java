package io.jacinthquay.decision.placement;

import io.jacinthquay.model.UpstreamId;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/** A placer that looks at no latency and no cache. */
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
    List<UpstreamState> free = new ArrayList<>();
    for (UpstreamState u : table.candidates()) {
      if (u != null && !request.excluded().contains(u.info.id()) && usable.test(u.info.id())) {
        free.add(u);
      }
    }
    List<Placement> ranked = new ArrayList<>();
    while (!free.isEmpty() && ranked.size() < limit) {
      UpstreamState chosen = choose(free, ranked.isEmpty(), random);
      free.remove(chosen);
      ranked.add(new Placement(chosen.info.id(), chosen.domain(), 0, 0, table.isLocal(chosen)));
    }
    return ranked;
  }

  /**
   * Returns one of the free upstreams.
   *
   * @param first whether this is the first choice for the request
   */
  abstract UpstreamState choose(List<UpstreamState> free, boolean first, SplittableRandom random);
}
