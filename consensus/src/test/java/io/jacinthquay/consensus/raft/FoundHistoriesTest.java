package io.jacinthquay.consensus.raft;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Histories that failed once, played again. */
class FoundHistoriesTest {
  /**
   * The seeds and their causes: 441722, a learner was promoted beside a lost voter and lost its
   * disk in the same moment, so that two of four voters were gone.
   */
  @ParameterizedTest
  @ValueSource(longs = {441722})
  void holdWhatOnceFailed(long seed) {
    SimCluster.play(History.random(seed), Fault.NONE);
  }
}
