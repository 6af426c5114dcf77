package io.jacinthquay.consensus.raft;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.MembershipChange;
import io.jacinthquay.consensus.ReplicaId;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Tests the removal and replacement of replicas by a leader. */
final class RemovalTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long ELECTION_NANOS = 200 * NANOS_PER_MILLI;
  private static final ReplicaId SELF = new ReplicaId(new MemberId("a"), 1);
  private static final ReplicaId PEER_B = new ReplicaId(new MemberId("b"), 1);
  private static final ReplicaId PEER_C = new ReplicaId(new MemberId("c"), 1);
  private static final ReplicaId LEARNER = new ReplicaId(new MemberId("d"), 1);
  private static final Set<ReplicaId> VOTERS = Set.of(SELF, PEER_B, PEER_C);
  private static final long TERM = 2;

  private RaftNode node;
  private long now;

  /** Makes the node leader and commits its first entry, at index 2, with one other voter. */
  private void becomeLeader(Set<ReplicaId> learners, int targetVoters) {
    RaftOptions options =
        new RaftOptions(
            60 * NANOS_PER_MILLI,
            ELECTION_NANOS,
            500 * NANOS_PER_MILLI,
            4,
            4_096,
            4,
            targetVoters > 0,
            targetVoters);
    Entry firstEntry =
        new Entry(1, 1, new Payload.Reconfiguration(new Membership(VOTERS, learners)));
    RecoveredState recovered =
        new RecoveredState(
            new HardState(1, Optional.empty()), SnapshotMeta.NONE, List.of(firstEntry));
    Set<MemberId> seeds = VOTERS.stream().map(ReplicaId::member).collect(Collectors.toSet());
    node = new RaftNode(options, SELF, seeds, recovered, new Random(1), 0);
    do {
      now += 5 * NANOS_PER_MILLI;
      node.tick(now);
    } while (node.drain().immediateMessages().stream()
        .noneMatch(Message.PreVoteRequest.class::isInstance));
    node.receive(new Message.PreVoteReply(PEER_B, SELF, TERM, true), now);
    persist();
    node.receive(new Message.VoteReply(PEER_B, SELF, TERM, true), now);
    persist();
    reply(PEER_B, 2);
    assertTrue(node.status(0).isLeader());
  }

  private void persist() {
    node.onPersisted(node.drain().sequence(), now);
  }

  private void reply(ReplicaId from, long index) {
    node.receive(new Message.AppendReply(from, SELF, TERM, true, index, 0, 0, 0), now);
    persist();
  }

  /**
   * Guards against an early report of a removal: a replica that learns that it was removed restarts
   * with an empty data folder.
   */
  @Test
  void keepsReplicaUntilItsRemovalIsCommitted() {
    becomeLeader(Set.of(), 0);
    assertTrue(node.proposeMembershipChange(new MembershipChange.Remove(PEER_C), now).isRight());
    persist();
    assertTrue(node.status(0).participants().contains(PEER_C));
    reply(PEER_B, 3);
    assertFalse(node.status(0).participants().contains(PEER_C));
  }

  /**
   * Guards against a needless replacement after a pause of the leader: the first voter that replies
   * afterwards doesn't show that the others are gone.
   */
  @Test
  void keepsVotersAfterPauseOfLeader() {
    becomeLeader(Set.of(LEARNER), VOTERS.size());
    reply(PEER_C, 2);
    reply(LEARNER, 2);
    now += 15 * ELECTION_NANOS;
    reply(PEER_B, 2);
    reply(LEARNER, 2);
    node.tick(now);
    assertTrue(node.status(0).isLeader());
    assertTrue(node.status(0).membership().contains(PEER_C));
  }

  @Test
  void replacesUnresponsiveVoter() {
    becomeLeader(Set.of(LEARNER), VOTERS.size());
    for (int heartbeat = 0; heartbeat < 40; heartbeat++) {
      now += 60 * NANOS_PER_MILLI;
      reply(PEER_B, 2);
      reply(LEARNER, 2);
      node.tick(now);
    }
    assertFalse(node.status(0).membership().contains(PEER_C));
  }
}
