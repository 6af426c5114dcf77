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
import io.jacinthquay.consensus.raft.Message.LeadershipTransfer;
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
 * A Raft replica as a pure state machine. Every event comes with the current time, in nanoseconds
 * of any monotonic clock; {@link #drain} returns the work that results. This class is not
 * thread-safe.
 */
public final class RaftNode {
  /** Limits the memory used by entries that are kept for slow peers. */
  private static final long MAX_RETAINED_LOG_BYTES = 16 << 20;

  private final RaftState state;
  private final Election election;
  private final FollowerReplication followerReplication;
  private final Leadership leadership;
  private final ReadIndexRequests reads;
  private final ClusterBootstrap bootstrap;
  private final Reconfiguration reconfiguration;

  /**
   * Starts a replica from its durable state.
   *
   * @param options timeouts and limits
   * @param self this replica
   * @param seeds the members that form the cluster if all their data folders are empty
   * @param recovered the durable state
   * @param random the source of election timeouts and request numbers
   * @param now the current time in nanoseconds
   */
  public RaftNode(
      RaftOptions options,
      ReplicaId self,
      Set<MemberId> seeds,
      RecoveredState recovered,
      RandomGenerator random,
      long now) {
    this(options, self, seeds, recovered, SafetyRules.STANDARD, random, now);
  }

  RaftNode(
      RaftOptions options,
      ReplicaId self,
      Set<MemberId> seeds,
      RecoveredState recovered,
      SafetyRules rules,
      RandomGenerator random,
      long now) {
    state = new RaftState(options, self, Set.copyOf(seeds), recovered, rules, random, now);
    election = new Election(state);
    followerReplication = new FollowerReplication(state);
    leadership = new Leadership(state);
    reads = new ReadIndexRequests(state, leadership);
    bootstrap = new ClusterBootstrap(state);
    reconfiguration = new Reconfiguration(state, leadership);
  }

  /**
   * Advances the time. Must be called several times per heartbeat interval.
   *
   * @param now the current time in nanoseconds
   */
  public void tick(long now) {
    state.now = now;
    if (state.mode == Mode.FAILED) {
      return;
    }
    leadership.detectPause(now);
    reads.tick();
    bootstrap.tick();
    if (!state.isLeader()) {
      election.tick();
      checkVotes();
      formClusterIfPossible();
      return;
    }
    if (!leadership.hasQuorumContact()) {
      becomeFollower(state.term, Optional.empty());
      return;
    }
    if (leadership.isStorageStalled() && leadership.transfer()) {
      becomeFollower(state.term, Optional.empty());
      return;
    }
    leadership.tick();
    replaceLostMembers();
  }

  private void formClusterIfPossible() {
    bootstrap.initialMembership().ifPresent(this::formCluster);
  }

  private void formCluster(Membership membership) {
    state.setTermAndVote(1, Optional.empty());
    state.append(new Entry(1, 1, new Payload.Reconfiguration(membership)));
    election.campaign(false);
  }

  private void replaceLostMembers() {
    if (state.options.autoReplace() && reconfiguration.canChange()) {
      reconfiguration.planNextChange(bootstrap.waiting()).ifPresent(reconfiguration::propose);
    }
  }

  /**
   * Handles a message from a peer.
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
        bootstrap.receive(announce);
      }
    } else if (message.to().equals(state.self)) {
      dispatch(message);
    }
  }

  private void dispatch(Message message) {
    if (message instanceof AnnounceReply reply) {
      bootstrap.receive(reply);
    } else if (message instanceof PreVoteRequest request) {
      election.receive(request);
    } else if (message instanceof VoteRequest request) {
      receive(request);
    } else if (message instanceof AppendRequest || message instanceof SnapshotChunk) {
      receiveFromLeader(message);
    } else if (message instanceof PreVoteReply reply && reply.granted()) {
      election.receive(reply);
      checkVotes();
    } else {
      receiveInTerm(message);
    }
  }

  private void receive(VoteRequest request) {
    if (request.term() > state.term) {
      if (state.hasRecentLeader() && !request.leadershipTransfer()) {
        election.recordRefusal(request, request.lastIndex(), request.lastTerm());
        return;
      }
      becomeFollower(request.term(), Optional.empty());
    }
    election.receive(request);
  }

  private void receiveFromLeader(Message message) {
    if (message.term() < state.term) {
      state.outbox.send(new AppendReply(state.self, message.from(), state.term, false, 0, 0, 0, 0));
      return;
    }
    if (message.term() == state.term && state.isAvoided(message.from())) {
      return;
    }
    if (message.term() > state.term
        || state.mode != Mode.FOLLOWER
        || !state.leader.equals(Optional.of(message.from()))) {
      becomeFollower(message.term(), Optional.of(message.from()));
    }
    state.leaderContact = state.now;
    state.heardLeaderSinceStart = true;
    state.resetElectionDeadline();
    if (message instanceof AppendRequest request) {
      followerReplication.receive(request);
    } else if (message instanceof SnapshotChunk chunk) {
      followerReplication.receive(chunk);
    }
  }

  private void receiveInTerm(Message message) {
    if (message.term() > state.term) {
      becomeFollower(message.term(), Optional.empty());
    }
    if (message.term() < state.term) {
      return;
    }
    if (message instanceof VoteReply reply) {
      election.receive(reply);
      checkVotes();
    } else if (message instanceof LeadershipTransfer) {
      startTransferElection();
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

  private void startTransferElection() {
    if (state.mode == Mode.FOLLOWER && state.mayCampaign()) {
      election.campaign(true);
      reads.failAll();
    }
  }

  private void checkVotes() {
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

  private void becomeFollower(long term, Optional<ReplicaId> leader) {
    if (term > state.term) {
      state.setTermAndVote(term, Optional.empty());
    }
    reads.failAll();
    state.mode = Mode.FOLLOWER;
    state.leader = leader;
    state.resetElectionDeadline();
  }

  /**
   * Appends a command if this replica leads.
   *
   * @param command the command, which must not be changed afterwards
   * @param now the current time in nanoseconds
   * @return the entry, which may still be lost if this replica loses leadership, or the failure
   */
  public Either<LogFailure, Entry> propose(byte[] command, long now) {
    state.now = now;
    return state.isLeader()
        ? Either.right(leadership.append(new Payload.Command(command)))
        : Either.left(notLeader());
  }

  /**
   * Appends a membership change if this replica leads and the change is allowed.
   *
   * @param change the change
   * @param now the current time in nanoseconds
   * @return the entry, or the failure
   */
  public Either<LogFailure, Entry> proposeMembershipChange(MembershipChange change, long now) {
    state.now = now;
    return state.isLeader() ? reconfiguration.propose(change) : Either.left(notLeader());
  }

  private LogFailure notLeader() {
    Optional<MemberId> leader = state.leader.map(ReplicaId::member);
    LogError error = leader.isPresent() ? LogError.NOT_LEADER : LogError.NO_QUORUM;
    return new LogFailure(error, state.self + " is not the leader", leader);
  }

  /**
   * Handles the report that the leader does not answer calls although its messages arrive. Its
   * messages are ignored for a few election timeouts, so that a leader that a majority can't call
   * loses its quorum and another one is elected. No replica votes sooner than an election timeout
   * after the last message that it acknowledged, as after any other loss of a leader.
   *
   * @param member the member that does not answer; ignored unless this replica follows it
   * @param now the current time in nanoseconds
   */
  public void avoidLeader(MemberId member, long now) {
    state.now = now;
    boolean follows =
        state.mode == Mode.FOLLOWER
            && state.leader.filter(leader -> leader.member().equals(member)).isPresent();
    if (follows && !state.isAvoided(state.leader.get())) {
      state.avoidLeader();
    }
  }

  /**
   * Starts a linearizable read. Its result is returned in {@link Ready#reads}.
   *
   * @param now the current time in nanoseconds
   * @return the number of the read
   */
  public long readIndex(long now) {
    state.now = now;
    return reads.request();
  }

  /**
   * Handles the report that storage work is durable.
   *
   * @param sequence the highest sequence number of a {@link Ready} whose work is durable, together
   *     with all work before it
   * @param now the current time in nanoseconds
   */
  public void onPersisted(long sequence, long now) {
    state.now = now;
    for (Outbox.Pending durable : state.outbox.takePersisted(sequence)) {
      if (state.log.matches(durable.lastIndex(), durable.lastTerm())) {
        state.stableIndex = Math.max(state.stableIndex, durable.lastIndex());
      }
      election.countOwnVote(durable.term());
    }
    checkVotes();
    if (state.isLeader()) {
      leadership.advanceCommit();
    }
  }

  /**
   * Handles the report that a received snapshot is durable and the stored log starts after it.
   *
   * @param meta the metadata of the snapshot
   * @param now the current time in nanoseconds
   */
  public void onSnapshotInstalled(SnapshotMeta meta, long now) {
    state.now = now;
    followerReplication.onSnapshotInstalled(meta);
  }

  /**
   * Handles the report that a received snapshot was damaged in transit.
   *
   * @param now the current time in nanoseconds
   */
  public void onSnapshotDamaged(long now) {
    state.now = now;
    followerReplication.onInstallFailed();
  }

  /**
   * Handles the report that a snapshot of this replica's state is durable, and compacts the log
   * that it covers.
   *
   * @param meta the metadata of the snapshot
   * @param retained entries covered by the snapshot to keep for slow peers, fewer if they exceed 16
   *     MiB
   * @return the highest log index that is no longer needed on disk
   */
  public long onSnapshotSaved(SnapshotMeta meta, long retained) {
    if (meta.index() > state.snapshot.index()) {
      state.snapshot = meta;
      state.history.compactTo(meta.index());
      long minCompactIndex = Math.max(0, meta.index() - retained);
      state.log.compactTo(
          state.log.lowestIndexWithin(minCompactIndex, meta.index(), MAX_RETAINED_LOG_BYTES));
    }
    return state.log.firstIndex() - 1;
  }

  /**
   * Stops this replica because its storage failed. It acknowledges nothing from now on. If it
   * leads, it asks the active voter with the most complete log to take over.
   *
   * @param now the current time in nanoseconds
   */
  public void onStorageFailed(long now) {
    state.now = now;
    if (state.isLeader()) {
      leadership.transfer();
    }
    reads.failAll();
    state.mode = Mode.FAILED;
    state.leader = Optional.empty();
    state.outbox.dropStorageWork();
  }

  /**
   * Starts a leadership transfer if this replica leads: asks the active voter with the most
   * complete log to take over.
   *
   * @param now the current time in nanoseconds
   */
  public void transferLeadership(long now) {
    state.now = now;
    if (state.isLeader()) {
      leadership.transfer();
    }
  }

  /**
   * Returns the work that resulted from the events since the previous call.
   *
   * @return the work, which may be empty
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
      leadership.transfer();
      becomeFollower(state.term, Optional.empty());
    }
  }

  /**
   * Returns the status of this replica.
   *
   * @param appliedIndex the highest index that the driver has applied to its state machine
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
        state.history.participants(state.commitIndex),
        bootstrap.waiting());
  }
}
