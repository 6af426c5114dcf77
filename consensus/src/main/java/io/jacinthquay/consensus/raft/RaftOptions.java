package io.jacinthquay.consensus.raft;

/**
 * Timeouts and limits of the protocol.
 *
 * @param heartbeatNanos nanoseconds between heartbeats of the leader
 * @param electionNanos shortest silence in nanoseconds before an election; the actual one is drawn
 *     between this and twice this
 * @param readNanos nanoseconds after which a read that the leader has not answered fails
 * @param maxInflight append requests sent to a peer ahead of its answers
 * @param maxAppendBytes bytes of entries in one append request
 * @param promoteLag entries that a learner may lack when it becomes a voter
 * @param autoReplace whether the leader replaces members that come back with an empty data folder
 * @param targetVoters voters up to which replicas of unknown members that ask to take part are
 *     promoted; further ones stand by as learners and take the place of voters that fall silent; 0
 *     if unknown members are never taken in
 */
public record RaftOptions(
    long heartbeatNanos,
    long electionNanos,
    long readNanos,
    int maxInflight,
    int maxAppendBytes,
    long promoteLag,
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
    if (maxInflight < 1 || maxAppendBytes < 1 || promoteLag < 0) {
      throw new IllegalArgumentException("limits out of range");
    }
  }
}
