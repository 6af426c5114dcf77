package io.jacinthquay.control.service;

import io.jacinthquay.consensus.MemberId;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Decides from the calls to the leader whether it still serves others.
 *
 * <p>Handles a leader whose messages to other replicas arrive, so that it keeps its quorum, while
 * nobody gets an answer to a call. One slow answer does not count as a loss.
 */
final class LeaderReachability {
  /** Calls in a row without an answer from which the leader may be lost. */
  private static final int MIN_FAILURES = 2;

  /**
   * Time without an answer from which the leader is lost, in nanoseconds. With the time for an
   * election it is less than the 3 s after which routers count contact as lost.
   */
  private static final long LOST_NANOS = 700_000_000L;

  private final LongSupplier clock;
  private Optional<MemberId> leader = Optional.empty();
  private long answeredNanos;
  private int failures;

  /** Returns the state before the first call, over a monotonic clock in nanoseconds. */
  LeaderReachability(LongSupplier clock) {
    this.clock = clock;
  }

  /** Records that a leader is called; a new leader counts as reachable at first. */
  void recordCall(MemberId called) {
    if (!leader.equals(Optional.of(called))) {
      leader = Optional.of(called);
      recordAnswer();
    }
  }

  /** Records that the leader answered. */
  void recordAnswer() {
    answeredNanos = clock.getAsLong();
    failures = 0;
  }

  /** Records that a call failed or was not answered in time. */
  void recordFailure() {
    failures++;
  }

  /** Records that the loss was reported; it counts again only after further failures. */
  void recordReport() {
    recordAnswer();
  }

  /** Records that no leader is known, so that the next one counts as a new leader. */
  void recordNoLeader() {
    leader = Optional.empty();
  }

  /** Returns whether the leader has not answered for too long. */
  boolean isLost() {
    return failures >= MIN_FAILURES && clock.getAsLong() - answeredNanos >= LOST_NANOS;
  }
}
