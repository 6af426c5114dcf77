package io.jacinthquay.consensus;

/** A change of one replica. Quorums before and after any one of them overlap. */
public sealed interface MembershipChange {
  /**
   * Names the replica that changes.
   *
   * @return the replica
   */
  ReplicaId replica();

  /**
   * Adds a replica that receives the log and doesn't vote.
   *
   * @param replica a replica that is not a member yet
   */
  record AddLearner(ReplicaId replica) implements MembershipChange {}

  /**
   * Turns a caught-up learner into a voter.
   *
   * @param replica a learner
   */
  record Promote(ReplicaId replica) implements MembershipChange {}

  /**
   * Removes a voter or learner for good.
   *
   * @param replica a voter or learner
   */
  record Remove(ReplicaId replica) implements MembershipChange {}
}
