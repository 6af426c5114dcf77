package io.jacinthquay.consensus.raft;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.ReplicaId;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the election timeout of replicas that have just started. */
final class StartupElectionTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final RaftOptions OPTIONS =
      new RaftOptions(
          60 * NANOS_PER_MILLI, 200 * NANOS_PER_MILLI, 500 * NANOS_PER_MILLI, 4, 64, 4, false, 0);
  private static final ReplicaId SELF = new ReplicaId(new MemberId("a"), 1);
  private static final ReplicaId OTHER = new ReplicaId(new MemberId("b"), 1);
  private static final Entry FIRST_ENTRY =
      new Entry(1, 1, new Payload.Reconfiguration(new Membership(Set.of(SELF, OTHER), Set.of())));

  private static RaftNode startedNode(long seed) {
    RecoveredState recovered =
        new RecoveredState(
            new HardState(1, Optional.empty()), SnapshotMeta.NONE, List.of(FIRST_ENTRY));
    Set<MemberId> seeds = Set.of(SELF.member(), OTHER.member());
    return new RaftNode(OPTIONS, SELF, seeds, recovered, new Random(seed), 0);
  }

  private static boolean startsPreVoteWithin(RaftNode node, long from, long to) {
    for (long now = from; now <= to; now += 5 * NANOS_PER_MILLI) {
      node.tick(now);
      if (node.drain().immediateMessages().stream()
          .anyMatch(Message.PreVoteRequest.class::isInstance)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Guards against a slow first election: when all replicas restart at once, there is no leader
   * whose election timeout has to pass.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void startsElectionSoonerAfterStart(long seed) {
    assertTrue(startsPreVoteWithin(startedNode(seed), 0, 130 * NANOS_PER_MILLI));
  }

  /** A replica that has heard from a leader since its start waits for the full election timeout. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void waitsFullElectionTimeoutAfterHearingFromLeader(long seed) {
    RaftNode node = startedNode(seed);
    node.receive(new Message.AppendRequest(OTHER, SELF, 1, 1, 1, List.of(), 0, 1), NANOS_PER_MILLI);
    assertFalse(startsPreVoteWithin(node, 2 * NANOS_PER_MILLI, 200 * NANOS_PER_MILLI));
  }
}
