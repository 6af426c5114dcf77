package io.jacinthquay.decision.placement;

import java.util.List;
import java.util.SplittableRandom;

/** Takes one upstream after the other. */
final class RoundRobinPlacer extends SimplePlacer {
  private int lastSlot = -1;

  RoundRobinPlacer(UpstreamTable table) {
    super(table);
  }

  @Override
  UpstreamState choose(List<UpstreamState> free, boolean first, SplittableRandom random) {
    UpstreamState chosen = free.get(0);
    for (UpstreamState u : free) {
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
