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

/** What a leader tells and does about replicas that leave. */
final class RemovalTest {
  private static final long MILLI = 1_000_000L;
  private static final long ELECTION = 200 * MILLI;
  private static final ReplicaId SELF = new ReplicaId(new MemberId("a"), 1);
  private static final ReplicaId NEAR = new ReplicaId(new MemberId("b"), 1);
  private static final ReplicaId GONE = new ReplicaId(new MemberId("c"), 1);
  private static final ReplicaId SPARE = new ReplicaId(new MemberId("d"), 1);
  private static final Set<ReplicaId> VOTERS = Set.of(SELF, NEAR, GONE);
  private static final long TERM = 2;

  private RaftNode node;
  private long now;

  /** Lets the node lead with its first entry, at index 2, committed by one other voter. */
  private void lead(Set<ReplicaId> learners, int targetVoters) {
    RaftOptions options =
        new RaftOptions(
            60 * MILLI, ELECTION, 500 * MILLI, 4, 4_096, 4, targetVoters > 0, targetVoters);
    Entry first = new Entry(1, 1, new Payload.Reconfiguration(new Membership(VOTERS, learners)));
    Recovered recovered =
        new Recovered(new HardState(1, Optional.empty()), SnapshotMeta.NONE, List.of(first));
    Set<MemberId> seeds = VOTERS.stream().map(ReplicaId::member).collect(Collectors.toSet());
    node = new RaftNode(options, SELF, seeds, recovered, new Random(1), 0);
    do {
      now += 5 * MILLI;
      node.tick(now);
    } while (node.drain().immediate().stream().noneMatch(Message.PreVoteRequest.class::isInstance));
    node.receive(new Message.PreVoteReply(NEAR, SELF, TERM, true), now);
    store();
    node.receive(new Message.VoteReply(NEAR, SELF, TERM, true), now);
    store();
    answer(NEAR, 2);
    assertTrue(node.status(0).isLeader());
  }

  private void store() {
    node.persisted(node.drain().sequence(), now);
  }

  private void answer(ReplicaId from, long index) {
    node.receive(new Message.AppendReply(from, SELF, TERM, true, index, 0, 0, 0), now);
    store();
  }

  /** Who is told that it was removed begins anew with an empty folder. */
  @Test
  void countAReplicaUntilItsRemovalIsCommitted() {
    lead(Set.of(), 0);
    assertTrue(node.change(new MembershipChange.Remove(GONE), now).isRight());
    store();
    assertTrue(node.status(0).takingPart().contains(GONE));
    answer(NEAR, 3);
    assertFalse(node.status(0).takingPart().contains(GONE));
  }

  /** The first voter that is heard after a standstill doesn't show that the others are gone. */
  @Test
  void takeTheOwnStandstillForNobodysSilence() {
    lead(Set.of(SPARE), VOTERS.size());
    answer(GONE, 2);
    answer(SPARE, 2);
    now += 15 * ELECTION;
    answer(NEAR, 2);
    answer(SPARE, 2);
    node.tick(now);
    assertTrue(node.status(0).isLeader());
    assertTrue(node.status(0).membership().contains(GONE));
  }

  @Test
  void replaceAVoterThatIsSilent() {
    lead(Set.of(SPARE), VOTERS.size());
    for (int heartbeat = 0; heartbeat < 40; heartbeat++) {
      now += 60 * MILLI;
      answer(NEAR, 2);
      answer(SPARE, 2);
      node.tick(now);
    }
    assertFalse(node.status(0).membership().contains(GONE));
  }
}
