package io.jacinthquay.decision.placement;

import io.jacinthquay.model.UpstreamId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;

/** A placer that looks at no latency and no cache. */
abstract class SimplePlacer implements Placer {
  private final UpstreamTable table;

  SimplePlacer(UpstreamTable table) {
    this.table = table;
  }

  @Override
  public final Optional<Placement> place(
      PlacementRequest request,
      Predicate<UpstreamId> usable,
      long nowNanos,
      SplittableRandom random) {
    List<UpstreamState> free = new ArrayList<>();
    for (UpstreamState u : table.candidates()) {
      if (u != null && !request.excluded().contains(u.info.id()) && usable.test(u.info.id())) {
        free.add(u);
      }
    }
    if (free.isEmpty()) {
      return Optional.empty();
    }
    UpstreamState chosen = choose(free, random);
    return Optional.of(new Placement(chosen.info.id(), 0, 0, table.isLocal(chosen)));
  }

  abstract UpstreamState choose(List<UpstreamState> free, SplittableRandom random);
}
