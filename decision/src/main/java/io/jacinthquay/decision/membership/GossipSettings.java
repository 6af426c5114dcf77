package io.jacinthquay.decision.membership;

import java.time.Duration;

/**
 * The intervals and message sizes of gossip; times are in nanoseconds.
 *
 * @param periodNanos time between two probes, above 0
 * @param probeNanos time after which an unanswered probe is repeated through other members, above 0
 *     and below the period
 * @param suspicionNanos time within which a suspected member must refute the suspicion, at least
 *     one period
 * @param summaryNanos time between two exchanges with other failure domains, above 0
 * @param syncNanos mean time between two exchanges of the full state, above 0
 * @param forgetNanos time after which a dead member is removed, above 0
 * @param membersPerMessage maximum number of member reports in a message, at least 1
 * @param loadsPerMessage maximum number of load updates in a message, at least 1
 * @param summariesPerMessage maximum number of summaries in a message, at least 1
 */
public record GossipSettings(
    long periodNanos,
    long probeNanos,
    long suspicionNanos,
    long summaryNanos,
    long syncNanos,
    long forgetNanos,
    int membersPerMessage,
    int loadsPerMessage,
    int summariesPerMessage) {
  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a value is out of range
   */
  public GossipSettings {
    if (periodNanos <= 0 || probeNanos <= 0 || probeNanos >= periodNanos) {
      throw new IllegalArgumentException("probeNanos must be above 0 and below periodNanos");
    }
    if (suspicionNanos < periodNanos || summaryNanos <= 0 || syncNanos <= 0 || forgetNanos <= 0) {
      throw new IllegalArgumentException("an interval is out of range");
    }
    if (membersPerMessage < 1 || loadsPerMessage < 1 || summariesPerMessage < 1) {
      throw new IllegalArgumentException("a message must have room for each kind of update");
    }
  }

  /** Returns the default settings. */
  public static GossipSettings defaults() {
    return new GossipSettings(
        Duration.ofMillis(200).toNanos(),
        Duration.ofMillis(80).toNanos(),
        Duration.ofMillis(1_000).toNanos(),
        Duration.ofSeconds(1).toNanos(),
        Duration.ofSeconds(30).toNanos(),
        Duration.ofMinutes(10).toNanos(),
        6,
        4,
        2);
  }
}
