package io.jacinthquay.decision.placement;

import java.util.List;
import java.util.SplittableRandom;

/** Chooses the upstreams in turn. */
final class RoundRobinPlacer extends SimplePlacer {
  private int lastSlot = -1;

  RoundRobinPlacer(UpstreamTable table) {
    super(table);
  }

  @Override
  UpstreamState choose(List<UpstreamState> available, boolean first, SplittableRandom random) {
    UpstreamState chosen = available.get(0);
    for (UpstreamState u : available) {
      if (u.slot > lastSlot) {
        chosen = u;
        break;
      }
    }
    if (first) {
      lastSlot = chosen.slot;
    }
    return chosen;
  }
}
