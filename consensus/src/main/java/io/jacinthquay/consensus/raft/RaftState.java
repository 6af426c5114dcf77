package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.ReplicaId;
import io.jacinthquay.consensus.Role;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/** The variables of one replica that the parts of the protocol share. */
final class RaftState {
  /** What the replica does in its term. */
  enum Mode {
    FOLLOWER,
    PRE_CANDIDATE,
    CANDIDATE,
    LEADER,
    FAILED
  }

  /** How much sooner than otherwise a replica that has just started asks for votes. */
  private static final int START_DIVISOR = 8;

  final RaftOptions options;
  final ReplicaId self;
  final Set<MemberId> seeds;
  final SafetyRules rules;
  final RandomGenerator random;
  final RaftLog log;
  final MembershipHistory history;
  final Outbox outbox = new Outbox();

  Mode mode = Mode.FOLLOWER;
  long now;
  long term;
  Optional<ReplicaId> votedFor;
  Optional<ReplicaId> leader = Optional.empty();
  long commitIndex;
  long stableIndex;
  long storedIndex;
  long deliveredIndex;
  SnapshotMeta snapshot;
  boolean installing;
  long electionDeadline;
  long leaderContact;
  boolean metLeader;

  RaftState(
      RaftOptions options,
      ReplicaId self,
      Set<MemberId> seeds,
      Recovered recovered,
      SafetyRules rules,
      RandomGenerator random,
      long now) {
    this.options = options;
    this.self = self;
    this.seeds = seeds;
    this.rules = rules;
    this.random = random;
    this.now = now;
    snapshot = recovered.snapshot();
    log = new RaftLog(snapshot, recovered.entries());
    history = new MembershipHistory(snapshot);
    recovered.entries().stream()
        .filter(entry -> entry.index() > snapshot.index())
        .forEach(history::add);
    recoverVote(recovered.hardState());
    commitIndex = snapshot.index();
    deliveredIndex = snapshot.index();
    stableIndex = log.lastIndex();
    storedIndex = log.lastIndex();
    leaderContact = now - options.electionNanos();
    resetElectionDeadline();
  }

  private void recoverVote(HardState stored) {
    boolean logIsNewer = log.lastTerm() > stored.term();
    term = Math.max(stored.term(), log.lastTerm());
    votedFor = logIsNewer ? Optional.empty() : stored.votedFor();
  }

  Membership membership() {
    return history.latest();
  }

  boolean isVoter() {
    return membership().voters().contains(self);
  }

  /**
   * Tells whether this replica may lead. One that is removed by an entry not yet committed may have
   * to, since its log can be the only one new enough.
   */
  boolean mayCampaign() {
    return !installing && history.mayVote(self, commitIndex);
  }

  boolean isLeader() {
    return mode == Mode.LEADER;
  }

  /** Tells whether the log belongs to a cluster. */
  boolean isFormed() {
    return log.lastIndex() > 0;
  }

  /** Tells whether a leader was heard of so lately that no election is due. */
  boolean hearsLeader() {
    return isLeader() || (leader.isPresent() && now - leaderContact < options.electionNanos());
  }

  Role role() {
    return switch (mode) {
      case FAILED -> Role.FAILED;
      case LEADER -> Role.LEADER;
      case CANDIDATE, PRE_CANDIDATE -> Role.CANDIDATE;
      case FOLLOWER -> followerRole();
    };
  }

  private Role followerRole() {
    if (!isFormed()) {
      return Role.UNFORMED;
    }
    return isVoter() ? Role.FOLLOWER : Role.LEARNER;
  }

  /**
   * Sets when an election is due. A replica that has met no leader since it started asks sooner: a
   * leader that is there is heard of within a heartbeat, and the others refuse the pre-vote.
   */
  void resetElectionDeadline() {
    long shortest = metLeader ? options.electionNanos() : options.electionNanos() / START_DIVISOR;
    long spread = metLeader ? options.electionNanos() : options.electionNanos() / 2;
    electionDeadline = now + shortest + random.nextLong(spread);
  }

  void vote(long newTerm, Optional<ReplicaId> candidate) {
    term = newTerm;
    votedFor = candidate;
    outbox.hardStateChanged();
  }

  void append(Entry entry) {
    log.append(entry);
    history.add(entry);
  }

  void truncateFrom(long index) {
    log.truncateFrom(index);
    history.truncateFrom(index);
    stableIndex = Math.min(stableIndex, index - 1);
    storedIndex = Math.min(storedIndex, index - 1);
  }

  void commitTo(long index) {
    commitIndex = Math.max(commitIndex, index);
  }
}
