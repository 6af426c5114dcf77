package io.jacinthquay.consensus;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The status of one replica, for operators and metrics.
 *
 * @param self this replica
 * @param role its role
 * @param term its current term
 * @param leader the leader of the term, if known
 * @param commitIndex the highest index known to be committed
 * @param appliedIndex the highest index applied to the state machine
 * @param firstIndex the lowest index that the log still contains
 * @param lastIndex the highest index in the log
 * @param membership the current membership
 * @param participants the replicas of the committed membership and of later memberships that are
 *     not committed yet
 * @param joinCandidates replicas with an empty data folder that asked to join
 */
public record LogStatus(
    ReplicaId self,
    Role role,
    long term,
    Optional<ReplicaId> leader,
    long commitIndex,
    long appliedIndex,
    long firstIndex,
    long lastIndex,
    Membership membership,
    Set<ReplicaId> participants,
    List<ReplicaId> joinCandidates) {
  /** Copies the collections. */
  public LogStatus {
    participants = Set.copyOf(participants);
    joinCandidates = List.copyOf(joinCandidates);
  }

  /**
   * Returns whether this replica is the leader.
   *
   * @return true if it is the leader
   */
  public boolean isLeader() {
    return role == Role.LEADER;
  }

  /** Returns this status with role {@link Role#FAILED} and no leader. */
  LogStatus failed() {
    return new LogStatus(
        self,
        Role.FAILED,
        term,
        Optional.empty(),
        commitIndex,
        appliedIndex,
        firstIndex,
        lastIndex,
        membership,
        participants,
        joinCandidates);
  }
}
