package io.jacinthquay.decision.placement;

import java.util.List;
import java.util.SplittableRandom;

/** Takes any upstream. */
final class RandomPlacer extends SimplePlacer {
  RandomPlacer(UpstreamTable table) {
    super(table);
  }

  @Override
  UpstreamState choose(List<UpstreamState> free, boolean first, SplittableRandom random) {
    return free.get(random.nextInt(free.size()));
  }
}
