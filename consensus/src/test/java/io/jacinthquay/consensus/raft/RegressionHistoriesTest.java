package io.jacinthquay.consensus.raft;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Replays histories that once violated an invariant. */
class RegressionHistoriesTest {
  /**
   * The causes by seed. 441722: a learner was promoted while a voter was lost, and lost its own
   * disk at the same time, so that two of four voters were gone.
   */
  @ParameterizedTest
  @ValueSource(longs = {441722})
  void keepsInvariantsInPastFailures(long seed) {
    SimCluster.simulate(History.random(seed), Fault.NONE);
  }
}
