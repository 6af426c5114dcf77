package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.LogError;
import io.jacinthquay.consensus.LogFailure;
import io.jacinthquay.consensus.LogStatus;
import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.MembershipChange;
import io.jacinthquay.consensus.ReplicaId;
import io.jacinthquay.consensus.raft.Message.Announce;
import io.jacinthquay.consensus.raft.Message.AnnounceReply;
import io.jacinthquay.consensus.raft.Message.AppendReply;
import io.jacinthquay.consensus.raft.Message.AppendRequest;
import io.jacinthquay.consensus.raft.Message.Handover;
import io.jacinthquay.consensus.raft.Message.PreVoteReply;
import io.jacinthquay.consensus.raft.Message.PreVoteRequest;
import io.jacinthquay.consensus.raft.Message.ReadReply;
import io.jacinthquay.consensus.raft.Message.ReadRequest;
import io.jacinthquay.consensus.raft.Message.SnapshotChunk;
import io.jacinthquay.consensus.raft.Message.SnapshotReply;
import io.jacinthquay.consensus.raft.Message.VoteReply;
import io.jacinthquay.consensus.raft.Message.VoteRequest;
import io.jacinthquay.consensus.raft.RaftState.Mode;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * One Raft replica as a pure state machine. Events go in with the current time, in nanoseconds of
 * any monotonic clock; {@link #drain} gives the work that follows. Not safe for use by several
 * threads.
 */
public final class RaftNode {
  private static final long MAX_RETAINED_BYTES = 16 << 20;

  private final RaftState state;
  private final Election election;
  private final Acceptor acceptor;
  private final Leadership leadership;
  private final Reads reads;
  private final Formation formation;
  private final Reconfiguration reconfiguration;

  /**
   * Starts a replica from what its disk holds.
   *
   * @param options timeouts and limits
   * @param self this replica
   * @param seeds the members that form the cluster when all are empty
   * @param recovered what the disk holds
   * @param random draws election timeouts and request numbers
   * @param now the current time in nanoseconds
   */
  public RaftNode(
      RaftOptions options,
      ReplicaId self,
      Set<MemberId> seeds,
      Recovered recovered,
      RandomGenerator random,
      long now) {
    this(options, self, seeds, recovered, SafetyRules.STANDARD, random, now);
  }

  RaftNode(
      RaftOptions options,
      ReplicaId self,
      Set<MemberId> seeds,
      Recovered recovered,
      SafetyRules rules,
      RandomGenerator random,
      long now) {
    state = new RaftState(options, self, Set.copyOf(seeds), recovered, rules, random, now);
    election = new Election(state);
    acceptor = new Acceptor(state);
    leadership = new Leadership(state);
    reads = new Reads(state, leadership);
    formation = new Formation(state);
    reconfiguration = new Reconfiguration(state, leadership);
  }

  /**
   * Lets time pass. Call it several times per heartbeat interval.
   *
   * @param now the current time in nanoseconds
   */
  public void tick(long now) {
    state.now = now;
    if (state.mode == Mode.FAILED) {
      return;
    }
    leadership.notice(now);
    reads.tick();
    formation.tick();
    if (!state.isLeader()) {
      election.tick();
      afterVotes();
      formIfPossible();
      return;
    }
    if (!leadership.hasQuorumContact()) {
      follow(state.term, Optional.empty());
      return;
    }
    leadership.tick();
    replaceLostMembers();
  }

  private void formIfPossible() {
    formation.firstMembership().ifPresent(this::form);
  }

  private void form(Membership membership) {
    state.vote(1, Optional.empty());
    state.append(new Entry(1, 1, new Payload.Reconfiguration(membership)));
    election.campaign(false);
  }

  private void replaceLostMembers() {
    if (state.options.autoReplace() && reconfiguration.mayChange()) {
      reconfiguration.nextStep(formation.waiting()).ifPresent(reconfiguration::propose);
    }
  }

  /**
   * Takes a message from a peer.
   *
   * @param message the message
   * @param now the current time in nanoseconds
   */
  public void receive(Message message, long now) {
    state.now = now;
    if (state.mode == Mode.FAILED) {
      return;
    }
    if (message instanceof Announce announce) {
      if (announce.to().member().equals(state.self.member())) {
        formation.receive(announce);
      }
    } else if (message.to().equals(state.self)) {
      dispatch(message);
    }
  }

  private void dispatch(Message message) {
    if (message instanceof AnnounceReply reply) {
      formation.receive(reply);
    } else if (message instanceof PreVoteRequest request) {
      election.receive(request);
    } else if (message instanceof VoteRequest request) {
      receive(request);
    } else if (message instanceof AppendRequest || message instanceof SnapshotChunk) {
      receiveFromLeader(message);
    } else if (message instanceof PreVoteReply reply && reply.granted()) {
      election.receive(reply);
      afterVotes();
    } else {
      receiveInTerm(message);
    }
  }

  private void receive(VoteRequest request) {
    if (request.term() > state.term) {
      if (state.hearsLeader() && !request.handover()) {
        return;
      }
      follow(request.term(), Optional.empty());
    }
    election.receive(request);
  }

  private void receiveFromLeader(Message message) {
    if (message.term() < state.term) {
      state.outbox.send(new AppendReply(state.self, message.from(), state.term, false, 0, 0, 0, 0));
      return;
    }
    if (message.term() > state.term
        || state.mode != Mode.FOLLOWER
        || !state.leader.equals(Optional.of(message.from()))) {
      follow(message.term(), Optional.of(message.from()));
    }
    state.leaderContact = state.now;
    state.metLeader = true;
    state.resetElectionDeadline();
    if (message instanceof AppendRequest request) {
      acceptor.receive(request);
    } else if (message instanceof SnapshotChunk chunk) {
      acceptor.receive(chunk);
    }
  }

  private void receiveInTerm(Message message) {
    if (message.term() > state.term) {
      follow(message.term(), Optional.empty());
    }
    if (message.term() < state.term) {
      return;
    }
    if (message instanceof VoteReply reply) {
      election.receive(reply);
      afterVotes();
    } else if (message instanceof Handover) {
      takeOver();
    } else if (message instanceof ReadRequest request) {
      reads.receive(request);
    } else if (message instanceof ReadReply reply) {
      reads.receive(reply);
    } else if (state.isLeader()) {
      receiveAsLeader(message);
    }
  }

  private void receiveAsLeader(Message message) {
    if (message instanceof AppendReply reply) {
      leadership.receive(reply);
    } else if (message instanceof SnapshotReply reply) {
      leadership.receive(reply);
    }
  }

  private void takeOver() {
    if (state.mode == Mode.FOLLOWER && state.mayCampaign()) {
      election.campaign(true);
      reads.failAll();
    }
  }

  private void afterVotes() {
    if (!election.hasQuorum()) {
      return;
    }
    if (state.mode == Mode.PRE_CANDIDATE) {
      election.campaign(false);
    } else if (state.mode == Mode.CANDIDATE) {
      state.mode = Mode.LEADER;
      state.leader = Optional.of(state.self);
      reads.failAll();
      leadership.begin();
    }
  }

  private void follow(long term, Optional<ReplicaId> leader) {
    if (term > state.term) {
      state.vote(term, Optional.empty());
    }
    reads.failAll();
    state.mode = Mode.FOLLOWER;
    state.leader = leader;
    state.resetElectionDeadline();
  }

  /**
   * Appends a command if this replica leads.
   *
   * @param command the command, not changed afterwards
   * @param now the current time in nanoseconds
   * @return the entry, which may still be lost if leadership is, or why there is none
   */
  public Either<LogFailure, Entry> propose(byte[] command, long now) {
    state.now = now;
    return state.isLeader()
        ? Either.right(leadership.append(new Payload.Command(command)))
        : Either.left(notLeader());
  }

  /**
   * Appends a membership change if this replica leads and the change is possible.
   *
   * @param change the change
   * @param now the current time in nanoseconds
   * @return the entry, or why there is none
   */
  public Either<LogFailure, Entry> change(MembershipChange change, long now) {
    state.now = now;
    return state.isLeader() ? reconfiguration.propose(change) : Either.left(notLeader());
  }

  private LogFailure notLeader() {
    Optional<MemberId> leader = state.leader.map(ReplicaId::member);
    LogError error = leader.isPresent() ? LogError.NOT_LEADER : LogError.NO_QUORUM;
    return new LogFailure(error, state.self + " does not lead", leader);
  }

  /**
   * Starts a linearizable read. The answer comes with {@link Ready#reads}.
   *
   * @param now the current time in nanoseconds
   * @return the number of the read
   */
  public long readIndex(long now) {
    state.now = now;
    return reads.request();
  }

  /**
   * Takes the report that storage work is durable.
   *
   * @param sequence the highest number of a {@link Ready} whose work is durable, with all before
   * @param now the current time in nanoseconds
   */
  public void persisted(long sequence, long now) {
    state.now = now;
    for (Outbox.Pending done : state.outbox.persisted(sequence)) {
      if (state.log.matches(done.lastIndex(), done.lastTerm())) {
        state.stableIndex = Math.max(state.stableIndex, done.lastIndex());
      }
      election.ownVoteDurable(done.term());
    }
    afterVotes();
    if (state.isLeader()) {
      leadership.advanceCommit();
    }
  }

  /**
   * Takes the report that a received snapshot is durable and the stored log begins behind it.
   *
   * @param meta what the snapshot covers
   * @param now the current time in nanoseconds
   */
  public void snapshotInstalled(SnapshotMeta meta, long now) {
    state.now = now;
    acceptor.installed(meta);
  }

  /**
   * Takes the report that a received snapshot was damaged on the way.
   *
   * @param now the current time in nanoseconds
   */
  public void snapshotRefused(long now) {
    state.now = now;
    acceptor.installFailed();
  }

  /**
   * Takes the report that a snapshot of the own state is durable, and drops the log behind it.
   *
   * @param meta what the snapshot covers
   * @param retained entries to keep behind the snapshot for slow peers
   * @return the highest index that is no longer needed on disk
   */
  public long snapshotSaved(SnapshotMeta meta, long retained) {
    if (meta.index() > state.snapshot.index()) {
      state.snapshot = meta;
      state.history.compactTo(meta.index());
      long kept = Math.max(0, meta.index() - retained);
      state.log.compactTo(state.log.lowestWithin(kept, meta.index(), MAX_RETAINED_BYTES));
    }
    return state.log.firstIndex() - 1;
  }

  /**
   * Stops taking part because storage failed. Nothing is acknowledged any more; a leader asks the
   * most advanced follower to take over.
   *
   * @param now the current time in nanoseconds
   */
  public void storageFailed(long now) {
    state.now = now;
    if (state.isLeader()) {
      leadership.handOver();
    }
    reads.failAll();
    state.mode = Mode.FAILED;
    state.leader = Optional.empty();
    state.outbox.dropStorageWork();
  }

  /**
   * Asks a follower to take over, if this replica leads.
   *
   * @param now the current time in nanoseconds
   */
  public void handOver(long now) {
    state.now = now;
    if (state.isLeader()) {
      leadership.handOver();
    }
  }

  /**
   * Takes the work that has come up.
   *
   * @return the work, possibly none
   */
  public Ready drain() {
    if (state.isLeader()) {
      stepDownIfRemoved();
    }
    reads.advance();
    if (state.isLeader()) {
      leadership.replicate();
    }
    return state.outbox.drain(state);
  }

  private void stepDownIfRemoved() {
    boolean committed = state.history.latestIndex() <= state.commitIndex;
    if (committed && !state.isVoter()) {
      leadership.handOver();
      follow(state.term, Optional.empty());
    }
  }

  /**
   * Describes this replica.
   *
   * @param appliedIndex the highest index that the driver has applied
   * @return the status
   */
  public LogStatus status(long appliedIndex) {
    return new LogStatus(
        state.self,
        state.role(),
        state.term,
        state.leader,
        state.commitIndex,
        appliedIndex,
        state.log.firstIndex(),
        state.log.lastIndex(),
        state.membership(),
        state.history.takingPart(state.commitIndex),
        formation.waiting());
  }
}
