package io.jacinthquay.consensus.raft;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.function.LongFunction;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that the oracle detects each injected fault. The search starts at a seed whose history
 * shows the fault.
 */
class FaultDetectionTest {
  private static final int MAX_HISTORIES = 20_000;

  @ParameterizedTest
  @CsvSource({
    "COMMIT_EARLIER_TERM_BY_COUNTING, 507",
    "FORGET_VOTE_OVER_RESTART, 116",
    "ACKNOWLEDGE_BEFORE_SYNC, 2",
    "VOTE_WITHOUT_LOG_CHECK, 11",
    "TRUNCATE_ON_STALE_APPEND, 2",
    "WIPED_DISK_KEEPS_IDENTITY, 16",
    "READ_WITHOUT_QUORUM, 34",
  })
  void oracleDetectsInjectedFault(Fault fault, long firstSeed) {
    LongFunction<History> histories =
        fault == Fault.COMMIT_EARLIER_TERM_BY_COUNTING ? History::withShortTerms : History::random;
    long seed = firstSeed;
    while (seed < firstSeed + MAX_HISTORIES && !violates(histories.apply(seed), fault)) {
      seed++;
    }
    assertTrue(seed < firstSeed + MAX_HISTORIES, "no history shows " + fault);
    assertFalse(violates(histories.apply(seed), Fault.NONE), "history " + seed + " without fault");
  }

  private static boolean violates(History history, Fault fault) {
    try {
      SimCluster.simulate(history, fault);
      return false;
    } catch (AssertionError | IllegalStateException e) {
      return true;
    }
  }
}
