package io.jacinthquay.consensus;

import java.time.Duration;
import java.util.Objects;

/**
 * Timeouts and limits of a replicated log.
 *
 * @param heartbeatInterval time between heartbeats of the leader
 * @param electionTimeout shortest silence after which a follower asks for votes; the actual one is
 *     drawn between this and twice this
 * @param proposalTimeout after this a proposal or read is answered with a failure
 * @param snapshotEveryEntries entries applied between two snapshots
 * @param retainedEntries entries kept in the log behind a snapshot for slow followers
 * @param segmentBytes size at which a new segment file starts
 * @param maxCommandBytes largest command
 * @param autoReplace whether the leader replaces a voter whose member comes back with an empty data
 *     folder, and promotes caught-up learners, without being asked
 * @param targetVoters voters up to which replicas of unknown members that ask to take part are
 *     promoted; further ones stand by as learners and take the place of voters that fall silent; 0
 *     if unknown members are never taken in
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
  /** Suits members a few milliseconds apart. */
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
      throw new IllegalArgumentException("electionTimeout must be at least two heartbeats");
    }
    if (snapshotEveryEntries < 1 || retainedEntries < 0) {
      throw new IllegalArgumentException("snapshotEveryEntries must be 1 or more, retained 0");
    }
    if (segmentBytes < 1024 || maxCommandBytes < 1) {
      throw new IllegalArgumentException("segmentBytes must be 1024 or more, maxCommandBytes 1");
    }
  }

  /**
   * Copies the options with another snapshot distance.
   *
   * @param every entries applied between two snapshots
   * @param retained entries kept behind a snapshot
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
   * Copies the options with other timeouts.
   *
   * @param heartbeat time between heartbeats
   * @param election shortest election timeout
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
