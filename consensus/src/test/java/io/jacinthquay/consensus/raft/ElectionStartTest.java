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

/** Elections of replicas that have just started. */
final class ElectionStartTest {
  private static final long MILLI = 1_000_000L;
  private static final RaftOptions OPTIONS =
      new RaftOptions(60 * MILLI, 200 * MILLI, 500 * MILLI, 4, 64, 4, false, 0);
  private static final ReplicaId SELF = new ReplicaId(new MemberId("a"), 1);
  private static final ReplicaId OTHER = new ReplicaId(new MemberId("b"), 1);
  private static final Entry FIRST =
      new Entry(1, 1, new Payload.Reconfiguration(new Membership(Set.of(SELF, OTHER), Set.of())));

  private static RaftNode started(long seed) {
    Recovered recovered =
        new Recovered(new HardState(1, Optional.empty()), SnapshotMeta.NONE, List.of(FIRST));
    Set<MemberId> seeds = Set.of(SELF.member(), OTHER.member());
    return new RaftNode(OPTIONS, SELF, seeds, recovered, new Random(seed), 0);
  }

  private static boolean asksWithin(RaftNode node, long from, long to) {
    for (long now = from; now <= to; now += 5 * MILLI) {
      node.tick(now);
      if (node.drain().immediate().stream().anyMatch(Message.PreVoteRequest.class::isInstance)) {
        return true;
      }
    }
    return false;
  }

  /** All replicas come back at once: nobody has to outlast the silence of a leader. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void askForVotesSoonerAfterAStart(long seed) {
    assertTrue(asksWithin(started(seed), 0, 130 * MILLI));
  }

  /** A replica that heard a leader since its start waits for the whole election timeout. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void outlastTheSilenceOfALeader(long seed) {
    RaftNode node = started(seed);
    node.receive(new Message.AppendRequest(OTHER, SELF, 1, 1, 1, List.of(), 0, 1), MILLI);
    assertFalse(asksWithin(node, 2 * MILLI, 200 * MILLI));
  }
}
