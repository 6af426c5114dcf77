package io.jacinthquay.decision.placement;

import java.util.List;
import java.util.SplittableRandom;

/** Takes the upstream with the fewest own attempts under way, any of those if several have. */
final class LeastInFlightPlacer extends SimplePlacer {
  LeastInFlightPlacer(UpstreamTable table) {
    super(table);
  }

  @Override
  UpstreamState choose(List<UpstreamState> free, boolean first, SplittableRandom random) {
    UpstreamState least = free.get(0);
    int ties = 1;
    for (UpstreamState u : free.subList(1, free.size())) {
      if (u.inFlight < least.inFlight) {
        least = u;
        ties = 1;
      } else if (u.inFlight == least.inFlight && random.nextInt(++ties) == 0) {
        least = u;
      }
    }
    return least;
  }
}
