package io.jacinthquay.consensus;

/** The current role of a replica. */
public enum Role {
  /** Has an empty data folder and waits to form or join a cluster. */
  UNFORMED,
  /** Receives the log and doesn't vote. */
  LEARNER,
  /** Receives the log and votes. */
  FOLLOWER,
  /** Requests votes to become the leader. */
  CANDIDATE,
  /** Appends proposals to the log and replicates it. */
  LEADER,
  /**
   * Takes no part because its storage or state machine failed. After a failure of the storage the
   * replica reads the stored data again once the storage works.
   */
  FAILED
}
