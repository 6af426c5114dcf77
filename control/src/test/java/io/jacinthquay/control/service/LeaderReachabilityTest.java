package io.jacinthquay.control.service;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.consensus.MemberId;
import org.junit.jupiter.api.Test;

/** Guards against a leader that keeps its office although it answers no calls. */
final class LeaderReachabilityTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final MemberId LEADER = new MemberId("127.0.0.1:1");
  private static final MemberId OTHER_LEADER = new MemberId("127.0.0.1:2");

  private long now;
  private final LeaderReachability reachability = new LeaderReachability(() -> now);

  private void fail(MemberId leader, long millis) {
    reachability.recordCall(leader);
    now += millis * NANOS_PER_MILLI;
    reachability.recordFailure();
  }

  @Test
  void leaderIsLostAfterTwoCallsWithoutAnswer() {
    fail(LEADER, 400);
    assertFalse(reachability.isLost());
    fail(LEADER, 400);
    assertTrue(reachability.isLost());
  }

  /** One slow call, however long, must not cost a change of the leader. */
  @Test
  void singleFailureIsNoLoss() {
    fail(LEADER, 5_000);
    assertFalse(reachability.isLost());
  }

  /** Calls that are refused at once, as during a restart, must not count before their time. */
  @Test
  void quickFailuresAreNoLoss() {
    fail(LEADER, 1);
    fail(LEADER, 1);
    assertFalse(reachability.isLost());
  }

  @Test
  void answerEndsASeriesOfFailures() {
    fail(LEADER, 400);
    reachability.recordCall(LEADER);
    reachability.recordAnswer();
    fail(LEADER, 400);
    assertFalse(reachability.isLost());
  }

  @Test
  void lossIsReportedOnce() {
    fail(LEADER, 400);
    fail(LEADER, 400);
    reachability.recordReport();
    fail(LEADER, 400);
    assertFalse(reachability.isLost());
    fail(LEADER, 400);
    assertTrue(reachability.isLost());
  }

  @Test
  void newLeaderCountsAsReachable() {
    fail(LEADER, 400);
    fail(OTHER_LEADER, 400);
    assertFalse(reachability.isLost());
    reachability.recordNoLeader();
    fail(OTHER_LEADER, 400);
    assertFalse(reachability.isLost());
  }
}
