package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.ReplicaId;
import io.jacinthquay.consensus.raft.Message.PreVoteReply;
import io.jacinthquay.consensus.raft.Message.PreVoteRequest;
import io.jacinthquay.consensus.raft.Message.VoteReply;
import io.jacinthquay.consensus.raft.Message.VoteRequest;
import io.jacinthquay.consensus.raft.RaftState.Mode;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

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
    }
    state.outbox.sendAfterPersist(new VoteReply(state.self, request.from(), state.term, granted));
  }

  void receive(VoteReply reply) {
    if (state.mode == Mode.CANDIDATE && reply.granted() && reply.term() == state.term) {
      votes.add(reply.from());
    }
  }

  private boolean isUpToDate(long lastTerm, long lastIndex) {
    return state.rules.isUpToDate(lastTerm, lastIndex, state.log.lastTerm(), state.log.lastIndex());
  }
}
