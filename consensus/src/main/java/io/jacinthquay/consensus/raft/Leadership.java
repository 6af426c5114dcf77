package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.ReplicaId;
import io.jacinthquay.consensus.raft.Message.AppendReply;
import io.jacinthquay.consensus.raft.Message.AppendRequest;
import io.jacinthquay.consensus.raft.Message.Handover;
import io.jacinthquay.consensus.raft.Message.SnapshotReply;
import io.jacinthquay.consensus.raft.Ready.SnapshotRead;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Replicates the log while this replica leads. */
final class Leadership {
  /** Election timeouts of silence after which a voter's place may go to a learner. */
  private static final int SILENT_ELECTIONS = 4;

  private final RaftState state;
  private final Map<ReplicaId, Progress> peers = new HashMap<>();
  private long nextHeartbeat;
  private long round;
  private long noticed;
  private long listensSince;

  Leadership(RaftState state) {
    this.state = state;
    noticed = state.now;
    listensSince = state.now;
  }

  /** Notices from the time between two ticks that this replica itself stood still. */
  void notice(long now) {
    if (now - noticed >= state.options.electionNanos()) {
      listensSince = now;
    }
    noticed = now;
  }

  /** Takes over after a won election. */
  void begin() {
    state.metLeader = true;
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

  /** Sends heartbeats that are due and repeats what may be lost. */
  void tick() {
    if (state.now >= nextHeartbeat) {
      heartbeat();
    }
  }

  /** Tells whether a quorum answered within an election timeout. */
  boolean hasQuorumContact() {
    return isActiveQuorum(state.membership());
  }

  /** Tells whether the voters of a membership that answered lately make a quorum of it. */
  boolean isActiveQuorum(Membership membership) {
    long active = membership.voters().stream().filter(this::isActive).count();
    return active >= membership.quorum();
  }

  /** Tells whether a replica answered within an election timeout. */
  boolean isActive(ReplicaId replica) {
    Progress progress = peers.get(replica);
    return replica.equals(state.self)
        || (progress != null && state.now - progress.lastContact() < state.options.electionNanos());
  }

  /**
   * Tells whether a replica has not answered for several election timeouts in which this one
   * listened. After a standstill the answers of some are read before those of others.
   */
  boolean isSilent(ReplicaId replica) {
    Progress progress = peers.get(replica);
    long silence = SILENT_ELECTIONS * state.options.electionNanos();
    return !replica.equals(state.self)
        && progress != null
        && state.now - Math.max(progress.lastContact(), listensSince) >= silence;
  }

  /** Tells whether a learner lacks few enough entries to become a voter. */
  boolean isCaughtUp(ReplicaId replica) {
    Progress progress = peers.get(replica);
    return progress != null
        && isActive(replica)
        && progress.matchIndex() + state.options.promoteLag() >= state.log.lastIndex()
        && progress.matchIndex() > 0;
  }

  /** Starts a round that confirms this leader and gives its number. */
  long startRound() {
    round++;
    heartbeat();
    return round;
  }

  /** Tells whether a quorum answered a round. */
  boolean isConfirmed(long wanted) {
    Membership membership = state.membership();
    long acks =
        membership.voters().stream()
            .filter(voter -> voter.equals(state.self) || peers.get(voter).ackedRound() >= wanted)
            .count();
    return acks >= membership.quorum();
  }

  private void heartbeat() {
    nextHeartbeat = state.now + state.options.heartbeatNanos();
    peers.forEach(this::heartbeat);
  }

  private void heartbeat(ReplicaId peer, Progress progress) {
    long prev = progress.nextIndex() - 1;
    if (progress.installing() || state.log.term(prev) < 0) {
      prev = 0;
    }
    long prevTerm = prev == 0 ? 0 : state.log.term(prev);
    state.outbox.send(request(peer, prev, prevTerm, List.of()));
    progress.retryProbe();
    boolean overdue = state.now - progress.snapshotSentAt() >= state.options.electionNanos() / 2;
    if (progress.installing() && overdue) {
      resendSnapshot(peer, progress);
    }
  }

  private AppendRequest request(ReplicaId peer, long prev, long prevTerm, List<Entry> entries) {
    return new AppendRequest(
        state.self, peer, state.term, prev, prevTerm, entries, state.commitIndex, round);
  }

  /** Sends whatever entries flow control allows. */
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
      progress.sent(prev + entries.size());
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
    progress.snapshotSent(state.now);
    state.outbox.read(
        new SnapshotRead(peer, state.term, progress.snapshot(), progress.snapshotOffset()));
  }

  void receive(AppendReply reply) {
    Progress progress = peers.get(reply.from());
    if (progress == null) {
      return;
    }
    progress.contacted(state.now, reply.round());
    if (reply.success()) {
      progress.accepted(reply.index(), state.log.firstIndex());
      advanceCommit();
    } else {
      long guess = state.log.lastIndexWithTermAtMost(reply.hintIndex(), reply.hintTerm());
      progress.refused(reply.index(), guess);
    }
  }

  void receive(SnapshotReply reply) {
    Progress progress = peers.get(reply.from());
    if (progress == null) {
      return;
    }
    progress.contacted(state.now, 0);
    if (reply.installed()) {
      progress.accepted(reply.index(), state.log.firstIndex());
      advanceCommit();
    } else if (progress.installing() && progress.snapshot().index() == reply.index()) {
      progress.continueSnapshot(reply.nextOffset());
      sendSnapshot(reply.from(), progress);
    }
  }

  /** Commits what is durable on a quorum. */
  void advanceCommit() {
    Membership membership = state.membership();
    long[] durable = membership.voters().stream().mapToLong(this::durableIndex).sorted().toArray();
    if (durable.length == 0) {
      return;
    }
    long index = durable[durable.length - membership.quorum()];
    boolean known = index > state.commitIndex && index >= state.log.firstIndex();
    if (known && state.rules.countsForCommit(state.log.term(index), state.term)) {
      state.commitTo(index);
    }
  }

  private long durableIndex(ReplicaId voter) {
    return voter.equals(state.self) ? state.stableIndex : peers.get(voter).matchIndex();
  }

  /** Asks the most advanced reachable voter to take over. */
  void handOver() {
    Optional<ReplicaId> successor =
        state.membership().voters().stream()
            .filter(voter -> !voter.equals(state.self) && isActive(voter))
            .max(Comparator.comparingLong(voter -> peers.get(voter).matchIndex()));
    successor.ifPresent(voter -> state.outbox.send(new Handover(state.self, voter, state.term)));
  }
}
