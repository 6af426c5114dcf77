package io.jacinthquay.consensus.raft;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Replaces all members by new ones at new addresses, one after the other, under crashes. */
final class SerialReplacementTest {
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void keepsEveryAcknowledgedEntry(long seed) {
    SimCluster.replaceAllMembers(seed, 3);
  }

  @ParameterizedTest
  @ValueSource(longs = {101, 102, 103, 104, 105, 106, 107, 108, 109, 110})
  void keepsEveryAcknowledgedEntryOfFiveMembers(long seed) {
    SimCluster.replaceAllMembers(seed, 5);
  }
}
