package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.ReplicaId;
import io.jacinthquay.consensus.raft.Message.AppendReply;
import io.jacinthquay.consensus.raft.Message.AppendRequest;
import io.jacinthquay.consensus.raft.Message.LeadershipTransfer;
import io.jacinthquay.consensus.raft.Message.SnapshotReply;
import io.jacinthquay.consensus.raft.Ready.SnapshotRead;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Replicates the log while this replica leads. */
final class Leadership {
  /** Election timeouts without a reply after which a learner may replace a voter. */
  private static final int UNRESPONSIVE_ELECTION_TIMEOUTS = 4;

  /** Election timeouts without durable storage work after which a leader steps down. */
  private static final int STALLED_ELECTION_TIMEOUTS = 4;

  private final RaftState state;
  private final Map<ReplicaId, Progress> peers = new HashMap<>();
  private long nextHeartbeat;
  private long round;
  private long lastTick;
  private long runningSince;

  Leadership(RaftState state) {
    this.state = state;
    lastTick = state.now;
    runningSince = state.now;
  }

  /** Detects from the time between two ticks that this replica itself was paused. */
  void detectPause(long now) {
    if (now - lastTick >= state.options.electionNanos()) {
      runningSince = now;
    }
    lastTick = now;
  }

  /** Starts to lead after a won election. */
  void begin() {
    state.heardLeaderSinceStart = true;
    peers.clear();
    round = 0;
    syncPeers();
    append(new Payload.NoOp());
    heartbeat();
  }

  /** Appends an entry of the current term. */
  Entry append(Payload payload) {
    Entry entry = new Entry(state.log.lastIndex() + 1, state.term, payload);
    state.append(entry);
    if (payload instanceof Payload.Reconfiguration) {
      syncPeers();
    }
    return entry;
  }

  private void syncPeers() {
    Membership membership = state.membership();
    peers.keySet().removeIf(peer -> !membership.contains(peer));
    for (ReplicaId peer : membership.replicas()) {
      if (!peer.equals(state.self)) {
        long next = state.log.lastIndex() + 1;
        peers.computeIfAbsent(
            peer, id -> new Progress(next, state.options.maxInflight(), state.now));
      }
    }
  }

  /** Sends heartbeats that are due and resends snapshot chunks that may be lost. */
  void tick() {
    if (state.now >= nextHeartbeat) {
      heartbeat();
    }
  }

  /**
   * Returns whether the storage of this replica has been busy with the same work for several
   * election timeouts. Such a leader replicates commands, but applies none.
   */
  boolean isStorageStalled() {
    return state.outbox.isStorageStalled(
        state.now, STALLED_ELECTION_TIMEOUTS * state.options.electionNanos());
  }

  /** Returns whether a quorum replied within an election timeout. */
  boolean hasQuorumContact() {
    return isActiveQuorum(state.membership());
  }

  /** Returns whether the recently active voters of a membership form a quorum of it. */
  boolean isActiveQuorum(Membership membership) {
    long active = membership.voters().stream().filter(this::isActive).count();
    return active >= membership.quorum();
  }

  /** Returns whether a replica replied within an election timeout. */
  boolean isActive(ReplicaId replica) {
    Progress progress = peers.get(replica);
    return replica.equals(state.self)
        || (progress != null && state.now - progress.lastContact() < state.options.electionNanos());
  }

  /**
   * Returns whether a replica has sent no reply for several election timeouts during which this
   * replica was running. The time before a pause of this replica doesn't count: right after the
   * pause, the replies of some peers are read before those of others.
   */
  boolean isUnresponsive(ReplicaId replica) {
    Progress progress = peers.get(replica);
    long silence = UNRESPONSIVE_ELECTION_TIMEOUTS * state.options.electionNanos();
    return !replica.equals(state.self)
        && progress != null
        && state.now - Math.max(progress.lastContact(), runningSince) >= silence;
  }

  /** Returns whether a learner is active and lags few enough entries to become a voter. */
  boolean isCaughtUp(ReplicaId replica) {
    Progress progress = peers.get(replica);
    return progress != null
        && isActive(replica)
        && progress.matchIndex() + state.options.maxPromotionLag() >= state.log.lastIndex()
        && progress.matchIndex() > 0;
  }

  /** Starts a heartbeat round that confirms this leader and returns its number. */
  long startRound() {
    round++;
    heartbeat();
    return round;
  }

  /** Returns whether a quorum acknowledged a round. */
  boolean isConfirmed(long roundNumber) {
    Membership membership = state.membership();
    long acks =
        membership.voters().stream()
            .filter(
                voter -> voter.equals(state.self) || peers.get(voter).ackedRound() >= roundNumber)
            .count();
    return acks >= membership.quorum();
  }

  private void heartbeat() {
    nextHeartbeat = state.now + state.options.heartbeatNanos();
    peers.forEach(this::heartbeat);
  }

  private void heartbeat(ReplicaId peer, Progress progress) {
    if (!progress.isInstallingSnapshot() && state.log.term(progress.nextIndex() - 1) < 0) {
      // The window of a silent peer may be full, so that no append would find this out.
      startSnapshot(peer, progress);
    }
    long prev = progress.isInstallingSnapshot() ? 0 : progress.nextIndex() - 1;
    long prevTerm = prev == 0 ? 0 : state.log.term(prev);
    state.outbox.send(request(peer, prev, prevTerm, List.of()));
    progress.allowProbe();
    boolean overdue = state.now - progress.snapshotSentAt() >= state.options.electionNanos() / 2;
    if (progress.isInstallingSnapshot() && overdue) {
      resendSnapshot(peer, progress);
    }
  }

  private AppendRequest request(ReplicaId peer, long prev, long prevTerm, List<Entry> entries) {
    return new AppendRequest(
        state.self, peer, state.term, prev, prevTerm, entries, state.commitIndex, round);
  }

  /** Sends the entries that flow control allows. */
  void replicate() {
    peers.forEach(this::replicate);
  }

  private void replicate(ReplicaId peer, Progress progress) {
    while (progress.mayAppend() && progress.nextIndex() <= state.log.lastIndex()) {
      long prev = progress.nextIndex() - 1;
      long prevTerm = state.log.term(prev);
      if (prevTerm < 0) {
        startSnapshot(peer, progress);
        return;
      }
      List<Entry> entries =
          state.log.slice(prev + 1, state.log.lastIndex(), state.options.maxAppendBytes());
      state.outbox.send(request(peer, prev, prevTerm, entries));
      progress.recordSent(prev + entries.size());
    }
  }

  private void startSnapshot(ReplicaId peer, Progress progress) {
    progress.startSnapshot(state.snapshot);
    sendSnapshot(peer, progress);
  }

  private void resendSnapshot(ReplicaId peer, Progress progress) {
    if (progress.snapshot().index() != state.snapshot.index()) {
      progress.startSnapshot(state.snapshot);
    }
    sendSnapshot(peer, progress);
  }

  private void sendSnapshot(ReplicaId peer, Progress progress) {
    progress.recordSnapshotSent(state.now);
    state.outbox.addSnapshotRead(
        new SnapshotRead(peer, state.term, progress.snapshot(), progress.snapshotOffset()));
  }

  void receive(AppendReply reply) {
    Progress progress = peers.get(reply.from());
    if (progress == null) {
      return;
    }
    progress.recordContact(state.now, reply.round());
    if (reply.success()) {
      progress.recordAccepted(reply.index(), state.log.firstIndex());
      advanceCommit();
    } else {
      long likelyMatchIndex =
          state.log.lastIndexWithTermAtMost(reply.hintIndex(), reply.hintTerm());
      progress.recordRejection(reply.index(), likelyMatchIndex);
    }
  }

  void receive(SnapshotReply reply) {
    Progress progress = peers.get(reply.from());
    if (progress == null) {
      return;
    }
    progress.recordContact(state.now, 0);
    if (reply.installed()) {
      progress.recordAccepted(reply.index(), state.log.firstIndex());
      advanceCommit();
    } else if (progress.isInstallingSnapshot() && progress.snapshot().index() == reply.index()) {
      progress.continueSnapshot(reply.nextOffset());
      sendSnapshot(reply.from(), progress);
    }
  }

  /** Advances the commit index to the highest entry that is durable on a quorum. */
  void advanceCommit() {
    Membership membership = state.membership();
    long[] durable = membership.voters().stream().mapToLong(this::durableIndex).sorted().toArray();
    if (durable.length == 0) {
      return;
    }
    long index = durable[durable.length - membership.quorum()];
    boolean isNew = index > state.commitIndex && index >= state.log.firstIndex();
    if (isNew && state.rules.countsTowardCommit(state.log.term(index), state.term)) {
      state.commitTo(index);
    }
  }

  private long durableIndex(ReplicaId voter) {
    return voter.equals(state.self) ? state.stableIndex : peers.get(voter).matchIndex();
  }

  /**
   * Asks the active voter with the highest match index to take over; returns whether there is one.
   */
  boolean transfer() {
    Optional<ReplicaId> successor =
        state.membership().voters().stream()
            .filter(voter -> !voter.equals(state.self) && isActive(voter))
            .max(Comparator.comparingLong(voter -> peers.get(voter).matchIndex()));
    successor.ifPresent(
        voter -> state.outbox.send(new LeadershipTransfer(state.self, voter, state.term)));
    return successor.isPresent();
  }
}
