package io.jacinthquay.consensus.raft;

/**
 * Timeouts and limits of the protocol.
 *
 * @param heartbeatNanos nanoseconds between two heartbeats of the leader
 * @param electionNanos shortest election timeout in nanoseconds; each timeout is drawn between this
 *     value and twice this value
 * @param readNanos nanoseconds after which a read without a reply from the leader fails
 * @param maxInflight append requests in flight to one peer, without a reply yet
 * @param maxAppendBytes maximum bytes of entries in one append request; a single larger entry is
 *     sent alone
 * @param maxPromotionLag entries that a learner may lag behind when it becomes a voter
 * @param autoReplace whether the leader replaces members that come back with an empty data folder,
 *     and promotes learners that have caught up
 * @param targetVoters number of voters up to which replicas of unknown members that ask to join are
 *     promoted; further ones stay learners and replace voters that stop replying; 0 if unknown
 *     members are never added
 */
public record RaftOptions(
    long heartbeatNanos,
    long electionNanos,
    long readNanos,
    int maxInflight,
    int maxAppendBytes,
    long maxPromotionLag,
    boolean autoReplace,
    int targetVoters) {
  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a value is out of range
   */
  public RaftOptions {
    if (heartbeatNanos < 1 || electionNanos < 2 * heartbeatNanos || readNanos < 1) {
      throw new IllegalArgumentException("timeouts out of range");
    }
    if (maxInflight < 1 || maxAppendBytes < 1 || maxPromotionLag < 0) {
      throw new IllegalArgumentException("limits out of range");
    }
  }
}
