package io.jacinthquay.consensus;

/** What a replica does at present. */
public enum Role {
  /** Holds an empty data folder and waits for a cluster. */
  UNFORMED,
  /** Receives the log and doesn't vote. */
  LEARNER,
  /** Receives the log and votes. */
  FOLLOWER,
  /** Asks for votes. */
  CANDIDATE,
  /** Orders the log. */
  LEADER,
  /** Stopped taking part because its storage failed; a restart reads the disk afresh. */
  FAILED
}
