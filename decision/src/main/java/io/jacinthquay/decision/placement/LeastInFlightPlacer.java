package io.jacinthquay.decision.placement;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Chooses the upstream with the fewest attempts in flight from this router; breaks ties at random.
 */
final class LeastInFlightPlacer extends SimplePlacer {
  LeastInFlightPlacer(UpstreamTable table) {
    super(table);
  }

  @Override
  UpstreamState choose(List<UpstreamState> available, boolean first, SplittableRandom random) {
    UpstreamState least = available.get(0);
    int ties = 1;
    for (UpstreamState u : available.subList(1, available.size())) {
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
