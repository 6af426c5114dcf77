package io.jacinthquay.consensus;

import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A view of one replica for operators and metrics.
 *
 * @param self this replica
 * @param role what it does
 * @param term its term
 * @param leader the leader of the term, if known
 * @param commitIndex the highest index known to be committed
 * @param appliedIndex the highest index applied to the state machine
 * @param firstIndex the lowest index still held in the log
 * @param lastIndex the highest index in the log
 * @param membership the membership in force
 * @param takingPart the replicas of the committed membership and of those that may still replace it
 * @param waiting replicas with an empty data folder that asked to take part
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
    Set<ReplicaId> takingPart,
    List<ReplicaId> waiting) {
  /** Copies the collections. */
  public LogStatus {
    takingPart = Set.copyOf(takingPart);
    waiting = List.copyOf(waiting);
  }

  /**
   * Tells whether this replica leads.
   *
   * @return true for the leader
   */
  public boolean isLeader() {
    return role == Role.LEADER;
  }
}
