package io.jacinthquay.consensus.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.ReplicaId;
import io.jacinthquay.consensus.raft.ElectionEvent.Kind;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against groups without a leader whose logs don't tell why nobody is elected. */
final class ElectionEventTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final RaftOptions OPTIONS =
      new RaftOptions(
          60 * NANOS_PER_MILLI, 200 * NANOS_PER_MILLI, 500 * NANOS_PER_MILLI, 4, 64, 4, false, 0);
  private static final ReplicaId SELF = new ReplicaId(new MemberId("a"), 1);
  private static final ReplicaId LEADER = new ReplicaId(new MemberId("b"), 1);
  private static final ReplicaId OTHER = new ReplicaId(new MemberId("c"), 1);
  private static final Set<ReplicaId> VOTERS = Set.of(SELF, LEADER, OTHER);
  private static final long TERM = 3;

  private static RaftNode newNode() {
    Entry first = new Entry(1, 1, new Payload.Reconfiguration(new Membership(VOTERS, Set.of())));
    Entry second = new Entry(2, 2, new Payload.NoOp());
    RecoveredState recovered =
        new RecoveredState(
            new HardState(TERM, Optional.empty()), SnapshotMeta.NONE, List.of(first, second));
    return new RaftNode(
        OPTIONS, SELF, Set.of(SELF.member()), recovered, new Random(1), NANOS_PER_MILLI);
  }

  @ParameterizedTest
  @CsvSource({
    // candidate's term, last index, last term, time since the leader was heard in ms, expected
    "4, 2, 2, 50, REFUSED_LEADER_HEARD",
    "4, 1, 1, 300, REFUSED_LOG_BEHIND",
    "3, 2, 2, 300, REFUSED_TERM",
  })
  void recordsWhyVotesAreRefused(long term, long index, long logTerm, long silent, Kind expected) {
    RaftNode node = newNode();
    node.receive(
        new Message.AppendRequest(LEADER, SELF, TERM, 2, 2, List.of(), 1, 1), NANOS_PER_MILLI);
    node.drain();
    node.receive(
        new Message.PreVoteRequest(OTHER, SELF, term, index, logTerm),
        (1 + silent) * NANOS_PER_MILLI);
    List<ElectionEvent> events = node.drain().electionEvents();
    assertEquals(1, events.size());
    assertEquals(expected, events.get(0).kind());
    assertEquals(OTHER, events.get(0).peer());
    assertTrue(events.get(0).detail().contains("heard " + silent + " ms ago"));
  }

  @Test
  void recordsOwnCampaigns() {
    RaftNode node = newNode();
    List<Kind> kinds = new ArrayList<>();
    for (long now = 5; now <= 400; now += 5) {
      node.tick(now * NANOS_PER_MILLI);
      Ready ready = node.drain();
      ready.electionEvents().forEach(event -> kinds.add(event.kind()));
      boolean asksForPreVote =
          ready.immediateMessages().stream().anyMatch(Message.PreVoteRequest.class::isInstance);
      if (asksForPreVote) {
        node.receive(new Message.PreVoteReply(OTHER, SELF, TERM + 1, true), now * NANOS_PER_MILLI);
        node.drain().electionEvents().forEach(event -> kinds.add(event.kind()));
        break;
      }
    }
    assertEquals(List.of(Kind.PRE_VOTE_STARTED, Kind.CAMPAIGN_STARTED), kinds);
  }
}
