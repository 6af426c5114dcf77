package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.ReplicaId;
import io.jacinthquay.consensus.raft.ElectionEvent.Kind;
import io.jacinthquay.consensus.raft.Message.PreVoteReply;
import io.jacinthquay.consensus.raft.Message.PreVoteRequest;
import io.jacinthquay.consensus.raft.Message.VoteReply;
import io.jacinthquay.consensus.raft.Message.VoteRequest;
import io.jacinthquay.consensus.raft.RaftState.Mode;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Requests and grants votes. A pre-vote comes first, so that a replica that rejoins doesn't raise
 * the term and disrupt a working leader.
 */
final class Election {
  private final RaftState state;
  private final Set<ReplicaId> votes = new HashSet<>();

  Election(RaftState state) {
    this.state = state;
  }

  /** Starts a pre-vote if the election timeout has passed without contact from a leader. */
  void tick() {
    if (state.now >= state.electionDeadline && state.mayCampaign()) {
      startPreVote();
    }
  }

  private void startPreVote() {
    recordOwn(Kind.PRE_VOTE_STARTED, state.term + 1);
    state.mode = Mode.PRE_CANDIDATE;
    state.leader = Optional.empty();
    state.resetElectionDeadline();
    votes.clear();
    for (ReplicaId peer : state.membership().voters()) {
      if (!peer.equals(state.self)) {
        state.outbox.send(
            new PreVoteRequest(
                state.self, peer, state.term + 1, state.log.lastIndex(), state.log.lastTerm()));
      }
    }
    votes.add(state.self);
  }

  /** Starts an election. This replica's own vote counts once it is durable. */
  void campaign(boolean handover) {
    recordOwn(Kind.CAMPAIGN_STARTED, state.term + 1);
    state.setTermAndVote(state.term + 1, Optional.of(state.self));
    state.mode = Mode.CANDIDATE;
    state.leader = Optional.empty();
    state.resetElectionDeadline();
    votes.clear();
    for (ReplicaId peer : state.membership().voters()) {
      if (!peer.equals(state.self)) {
        state.outbox.sendAfterPersist(
            new VoteRequest(
                state.self,
                peer,
                state.term,
                state.log.lastIndex(),
                state.log.lastTerm(),
                handover));
      }
    }
  }

  /** Counts this replica's own vote after the hard state of a term became durable. */
  void countOwnVote(long term) {
    if (state.mode == Mode.CANDIDATE && term == state.term) {
      votes.add(state.self);
    }
  }

  boolean hasQuorum() {
    long granted = votes.stream().filter(state.membership().voters()::contains).count();
    return granted >= state.membership().quorum();
  }

  void receive(PreVoteRequest request) {
    boolean granted =
        request.term() > state.term
            && !state.hasRecentLeader()
            && isUpToDate(request.lastTerm(), request.lastIndex());
    if (!granted) {
      recordRefusal(request, request.lastIndex(), request.lastTerm());
    }
    long term = granted ? request.term() : state.term;
    state.outbox.send(new PreVoteReply(state.self, request.from(), term, granted));
  }

  void receive(PreVoteReply reply) {
    if (state.mode == Mode.PRE_CANDIDATE && reply.granted() && reply.term() == state.term + 1) {
      votes.add(reply.from());
    }
  }

  /** Answers a vote request whose term is at most this replica's term. */
  void receive(VoteRequest request) {
    boolean voteAvailable = state.votedFor.isEmpty() || state.votedFor.get().equals(request.from());
    boolean granted =
        request.term() == state.term
            && voteAvailable
            && state.leader.isEmpty()
            && isUpToDate(request.lastTerm(), request.lastIndex());
    if (granted) {
      state.setTermAndVote(state.term, Optional.of(request.from()));
      state.resetElectionDeadline();
    } else {
      recordRefusal(request, request.lastIndex(), request.lastTerm());
    }
    state.outbox.sendAfterPersist(new VoteReply(state.self, request.from(), state.term, granted));
  }

  void receive(VoteReply reply) {
    if (state.mode == Mode.CANDIDATE && reply.granted() && reply.term() == state.term) {
      votes.add(reply.from());
    }
  }

  private void recordOwn(Kind kind, long term) {
    String detail =
        "last log entry %d of term %d, voters %s, heard a leader %d ms ago"
            .formatted(
                state.log.lastIndex(),
                state.log.lastTerm(),
                state.membership().voters(),
                leaderContactMillis());
    state.outbox.addElectionEvent(new ElectionEvent(kind, state.self, term, detail));
  }

  private long leaderContactMillis() {
    return TimeUnit.NANOSECONDS.toMillis(state.now - state.leaderContact);
  }

  /** Records that this replica refused a vote or a pre-vote, and its state. */
  void recordRefusal(Message request, long lastIndex, long lastTerm) {
    String detail =
        "own term %d, voted for %s, leader %s heard %d ms ago, last log entry %d of term %d against %d of term %d"
            .formatted(
                state.term,
                state.votedFor,
                state.leader,
                leaderContactMillis(),
                state.log.lastIndex(),
                state.log.lastTerm(),
                lastIndex,
                lastTerm);
    state.outbox.addElectionEvent(
        new ElectionEvent(refusal(lastIndex, lastTerm), request.from(), request.term(), detail));
  }

  private Kind refusal(long lastIndex, long lastTerm) {
    if (state.hasRecentLeader()) {
      return Kind.REFUSED_LEADER_HEARD;
    }
    return isUpToDate(lastTerm, lastIndex) ? Kind.REFUSED_TERM : Kind.REFUSED_LOG_BEHIND;
  }

  private boolean isUpToDate(long lastTerm, long lastIndex) {
    return state.rules.isUpToDate(lastTerm, lastIndex, state.log.lastTerm(), state.log.lastIndex());
  }
}
