package io.jacinthquay.consensus;

/**
 * A membership change that affects one replica, so that every quorum before it overlaps every
 * quorum after it.
 */
public sealed interface MembershipChange {
  /**
   * Returns the replica that is added, promoted or removed.
   *
   * @return the replica
   */
  ReplicaId replica();

  /**
   * Adds a replica as a learner, which receives the log and doesn't vote.
   *
   * @param replica a replica that is not a member yet
   */
  record AddLearner(ReplicaId replica) implements MembershipChange {}

  /**
   * Promotes a learner that has caught up to a voter.
   *
   * @param replica a learner
   */
  record Promote(ReplicaId replica) implements MembershipChange {}

  /**
   * Removes a voter or learner permanently.
   *
   * @param replica a voter or learner
   */
  record Remove(ReplicaId replica) implements MembershipChange {}
}
