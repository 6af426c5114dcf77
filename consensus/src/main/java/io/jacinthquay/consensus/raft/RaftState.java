package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.ReplicaId;
import io.jacinthquay.consensus.Role;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/** The state of one replica that the parts of the protocol share. */
final class RaftState {
  /** The role of the replica in the current term. */
  enum Mode {
    FOLLOWER,
    PRE_CANDIDATE,
    CANDIDATE,
    LEADER,
    FAILED
  }

  /**
   * Divides the shortest election timeout of a replica that has heard no leader since it started.
   */
  private static final int STARTUP_TIMEOUT_DIVISOR = 8;

  /**
   * Election timeouts for which a leader that answers no calls is avoided. Long enough for an
   * election among replicas that notice it within an election timeout of each other, and shorter
   * than the time after which a leader replaces a voter that doesn't reply.
   */
  private static final int AVOIDANCE_ELECTION_TIMEOUTS = 3;

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

  /** The highest index known to be committed. */
  long commitIndex;

  /** The highest index that is durable on this replica. */
  long stableIndex;

  /** The highest index handed to the storage. */
  long storedIndex;

  /** The highest index handed to the state machine. */
  long deliveredIndex;

  SnapshotMeta snapshot;
  boolean installing;
  long electionDeadline;
  long leaderContact;
  boolean heardLeaderSinceStart;
  private Optional<ReplicaId> avoidedLeader = Optional.empty();
  private long avoidedTerm;
  private long avoidedUntil;

  RaftState(
      RaftOptions options,
      ReplicaId self,
      Set<MemberId> seeds,
      RecoveredState recovered,
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
    restoreTermAndVote(recovered.hardState());
    commitIndex = snapshot.index();
    deliveredIndex = snapshot.index();
    stableIndex = log.lastIndex();
    storedIndex = log.lastIndex();
    leaderContact = now - options.electionNanos();
    resetElectionDeadline();
  }

  private void restoreTermAndVote(HardState stored) {
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
   * Returns whether this replica may stand for election. A replica whose removal isn't committed
   * yet may still have to lead, since its log can be the only one that is up to date.
   */
  boolean mayCampaign() {
    return !installing && history.mayVote(self, commitIndex);
  }

  boolean isLeader() {
    return mode == Mode.LEADER;
  }

  /** Returns whether the log belongs to a formed cluster. */
  boolean isFormed() {
    return log.lastIndex() > 0;
  }

  /** Returns whether this replica leads or heard from a leader within an election timeout. */
  boolean hasRecentLeader() {
    return isLeader() || (leader.isPresent() && now - leaderContact < options.electionNanos());
  }

  /** Ignores the leader of this term from now on, until a new term or for some time. */
  void avoidLeader() {
    avoidedLeader = leader;
    avoidedTerm = term;
    avoidedUntil = now + AVOIDANCE_ELECTION_TIMEOUTS * options.electionNanos();
  }

  /** Returns whether the messages of a replica that leads this term are ignored. */
  boolean isAvoided(ReplicaId sender) {
    return avoidedTerm == term && now < avoidedUntil && avoidedLeader.equals(Optional.of(sender));
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
   * Draws the next election deadline. A replica that has heard no leader since it started uses a
   * shorter timeout: an active leader sends a heartbeat within one interval, and the other replicas
   * reject the pre-vote while they hear from it.
   */
  void resetElectionDeadline() {
    long shortest =
        heardLeaderSinceStart
            ? options.electionNanos()
            : options.electionNanos() / STARTUP_TIMEOUT_DIVISOR;
    long spread = heardLeaderSinceStart ? options.electionNanos() : options.electionNanos() / 2;
    electionDeadline = now + shortest + random.nextLong(spread);
  }

  void setTermAndVote(long newTerm, Optional<ReplicaId> candidate) {
    term = newTerm;
    votedFor = candidate;
    outbox.markHardStateChanged();
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
