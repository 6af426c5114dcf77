package io.jacinthquay.consensus.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.ReplicaId;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a leader that keeps its office by messages although it answers no calls. */
final class AvoidedLeaderTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long HEARTBEAT = 60 * NANOS_PER_MILLI;
  private static final long ELECTION = 200 * NANOS_PER_MILLI;
  private static final RaftOptions OPTIONS =
      new RaftOptions(HEARTBEAT, ELECTION, 500 * NANOS_PER_MILLI, 4, 64, 4, false, 0);
  private static final ReplicaId SELF = new ReplicaId(new MemberId("a"), 1);
  private static final ReplicaId LEADER = new ReplicaId(new MemberId("b"), 1);
  private static final ReplicaId OTHER = new ReplicaId(new MemberId("c"), 1);
  private static final Entry FIRST_ENTRY =
      new Entry(
          1, 1, new Payload.Reconfiguration(new Membership(Set.of(SELF, LEADER, OTHER), Set.of())));
  private static final Message HEARTBEAT_MESSAGE =
      new Message.AppendRequest(LEADER, SELF, 1, 1, 1, List.of(), 0, 1);

  private static RaftNode follower(long seed) {
    RecoveredState recovered =
        new RecoveredState(
            new HardState(1, Optional.empty()), SnapshotMeta.NONE, List.of(FIRST_ENTRY));
    Set<MemberId> seeds = Set.of(SELF.member(), LEADER.member(), OTHER.member());
    RaftNode node = new RaftNode(OPTIONS, SELF, seeds, recovered, new Random(seed), 0);
    node.receive(HEARTBEAT_MESSAGE, 0);
    node.drain();
    return node;
  }

  /** Receives heartbeats for a while and returns what the node sends. */
  private static List<Message> sentDuring(RaftNode node, long from, long until) {
    List<Message> sent = new ArrayList<>();
    for (long now = from; now < until; now += HEARTBEAT / 6) {
      node.tick(now);
      if (now % HEARTBEAT == 0) {
        node.receive(HEARTBEAT_MESSAGE, now);
      }
      sent.addAll(node.drain().immediateMessages());
    }
    return sent;
  }

  private static boolean grantsPreVote(RaftNode node, long now) {
    node.receive(new Message.PreVoteRequest(OTHER, SELF, 2, 1, 1), now);
    return node.drain().immediateMessages().stream()
        .anyMatch(message -> message instanceof Message.PreVoteReply reply && reply.granted());
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void preVoteStartsAlthoughTheLeaderIsHeard(long seed) {
    RaftNode node = follower(seed);
    node.avoidLeader(LEADER.member(), 0);
    List<Message> sent = sentDuring(node, 0, 2 * ELECTION + HEARTBEAT);
    assertTrue(sent.stream().anyMatch(Message.PreVoteRequest.class::isInstance));
    assertFalse(sent.stream().anyMatch(Message.AppendReply.class::isInstance));
  }

  /** The leader's last confirmation holds for an election timeout. */
  @Test
  void preVoteIsGrantedAnElectionTimeoutAfterTheLastAcknowledgement() {
    RaftNode node = follower(1);
    node.avoidLeader(LEADER.member(), 0);
    sentDuring(node, 0, ELECTION - HEARTBEAT);
    assertFalse(grantsPreVote(node, ELECTION - HEARTBEAT));
    assertTrue(grantsPreVote(node, ELECTION));
  }

  /** Further reports while calls fail must not put off the election. */
  @Test
  void repeatedReportDoesNotPostponeThePreVote() {
    RaftNode node = follower(1);
    boolean started = false;
    for (long now = 0; now < 2 * ELECTION + HEARTBEAT; now += HEARTBEAT) {
      node.avoidLeader(LEADER.member(), now);
      started |=
          sentDuring(node, now, now + HEARTBEAT).stream()
              .anyMatch(Message.PreVoteRequest.class::isInstance);
    }
    assertTrue(started);
  }

  /** The report of a leader that has ended must not put off the election either. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void lateReportDoesNotPostponeThePreVote(long seed) {
    RaftNode node = follower(seed);
    boolean started = false;
    for (long now = 0; now < 2 * ELECTION + HEARTBEAT; now += HEARTBEAT / 6) {
      node.tick(now);
      if (now >= ELECTION - HEARTBEAT) {
        node.avoidLeader(LEADER.member(), now);
      }
      started |=
          node.drain().immediateMessages().stream()
              .anyMatch(Message.PreVoteRequest.class::isInstance);
    }
    assertTrue(started);
  }

  /** A replica that alone can't call the leader follows it again. */
  @Test
  void leaderIsFollowedAgainLater() {
    RaftNode node = follower(1);
    node.avoidLeader(LEADER.member(), 0);
    sentDuring(node, 0, 3 * ELECTION);
    List<Message> sent = sentDuring(node, 3 * ELECTION, 6 * ELECTION);
    assertTrue(sent.stream().anyMatch(Message.AppendReply.class::isInstance));
    assertEquals(Optional.of(LEADER), node.status(0).leader());
  }

  @Test
  void anotherMemberIsNotAvoided() {
    RaftNode node = follower(1);
    node.avoidLeader(OTHER.member(), 0);
    List<Message> sent = sentDuring(node, 0, 4 * ELECTION);
    assertFalse(sent.stream().anyMatch(Message.PreVoteRequest.class::isInstance));
  }
}
