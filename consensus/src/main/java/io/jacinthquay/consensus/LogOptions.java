package io.jacinthquay.consensus;

import java.time.Duration;
import java.util.Objects;

/**
 * Timeouts and limits of a replicated log.
 *
 * @param heartbeatInterval time between heartbeats of the leader, positive
 * @param electionTimeout minimum time without a message from the leader after which a follower
 *     starts an election; the actual timeout is random between this and twice this value
 * @param proposalTimeout time after which a proposal or read fails
 * @param snapshotEveryEntries entries applied between two snapshots, 1 or more
 * @param retainedEntries entries before a snapshot that stay in the log for slow followers, 0 or
 *     more
 * @param segmentBytes size in bytes at which a new segment file starts, 1024 or more
 * @param maxCommandBytes maximum size of a command in bytes, 1 or more
 * @param autoReplace whether the leader, without a request by an operator, replaces a voter whose
 *     member restarts with an empty data folder, and promotes learners that have caught up
 * @param targetVoters number of voters up to which replicas of unknown members that ask to join are
 *     promoted; further ones remain learners and replace voters that stop responding; 0 if unknown
 *     members are never added
 */
public record LogOptions(
    Duration heartbeatInterval,
    Duration electionTimeout,
    Duration proposalTimeout,
    int snapshotEveryEntries,
    int retainedEntries,
    int segmentBytes,
    int maxCommandBytes,
    boolean autoReplace,
    int targetVoters) {
  /** Defaults for members with a network latency of a few milliseconds. */
  public static final LogOptions DEFAULT =
      new LogOptions(
          Duration.ofMillis(100),
          Duration.ofMillis(1000),
          Duration.ofSeconds(5),
          50_000,
          10_000,
          16 << 20,
          1 << 20,
          true,
          0);

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a value is out of range
   */
  public LogOptions {
    Objects.requireNonNull(proposalTimeout, "proposalTimeout");
    if (heartbeatInterval.isNegative() || heartbeatInterval.isZero()) {
      throw new IllegalArgumentException("heartbeatInterval must be positive");
    }
    if (electionTimeout.compareTo(heartbeatInterval.multipliedBy(2)) < 0) {
      throw new IllegalArgumentException(
          "electionTimeout must be at least twice heartbeatInterval");
    }
    if (snapshotEveryEntries < 1 || retainedEntries < 0) {
      throw new IllegalArgumentException(
          "snapshotEveryEntries must be 1 or more, retainedEntries 0");
    }
    if (segmentBytes < 1024 || maxCommandBytes < 1) {
      throw new IllegalArgumentException("segmentBytes must be 1024 or more, maxCommandBytes 1");
    }
  }

  /**
   * Returns a copy with other snapshot intervals.
   *
   * @param every entries applied between two snapshots
   * @param retained entries before a snapshot that stay in the log
   * @return the changed options
   */
  public LogOptions withSnapshots(int every, int retained) {
    return new LogOptions(
        heartbeatInterval,
        electionTimeout,
        proposalTimeout,
        every,
        retained,
        segmentBytes,
        maxCommandBytes,
        autoReplace,
        targetVoters);
  }

  /**
   * Returns a copy with other timeouts.
   *
   * @param heartbeat time between heartbeats
   * @param election minimum election timeout
   * @param proposal timeout of proposals and reads
   * @return the changed options
   */
  public LogOptions withTimeouts(Duration heartbeat, Duration election, Duration proposal) {
    return new LogOptions(
        heartbeat,
        election,
        proposal,
        snapshotEveryEntries,
        retainedEntries,
        segmentBytes,
        maxCommandBytes,
        autoReplace,
        targetVoters);
  }
}
