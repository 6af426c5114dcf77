package io.jacinthquay.decision.placement;

import java.util.List;
import java.util.SplittableRandom;

/** Chooses an upstream uniformly at random. */
final class RandomPlacer extends SimplePlacer {
  RandomPlacer(UpstreamTable table) {
    super(table);
  }

  @Override
  UpstreamState choose(List<UpstreamState> available, boolean first, SplittableRandom random) {
    return available.get(random.nextInt(available.size()));
  }
}
