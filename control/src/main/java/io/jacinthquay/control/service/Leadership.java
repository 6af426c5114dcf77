package io.jacinthquay.control.service;

import io.jacinthquay.consensus.LogStatus;
import io.jacinthquay.control.port.LeaderLease;
import io.jacinthquay.runtime.time.ClockReading;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Tracks whether this VM leads, as last confirmed by a quorum, and since when.
 *
 * <p>The term is the fencing token of calls to the platform: no two VMs lead in one term, and terms
 * only grow. A new leader calls the platform only after the hold time. By then every call of the
 * former leader, even a late one, is over, and within that time no VM calls again between two calls
 * of another.
 *
 * <p>A VM that was suspended, or whose time of day was stepped, can't tell the age of its last
 * confirmation and waits for the next one.
 */
public final class Leadership {
  /** Time for which a confirmation by a quorum is valid. */
  static final Duration CONFIRMATION_VALIDITY = Duration.ofMillis(600);

  private final String vm;
  private final Supplier<ClockReading> clock;
  private final long holdNanos;
  private long term = -1;
  private long termSinceNanos;
  private ClockReading lastConfirmation = new ClockReading(0, 0);

  /**
   * Returns the state of a VM that does not lead.
   *
   * @param vm name of this VM
   * @param hold least time between calls to the platform by two different VMs
   * @param clock returns a reading of the monotonic clock and the time of day
   */
  public Leadership(String vm, Duration hold, Supplier<ClockReading> clock) {
    this.vm = vm;
    this.holdNanos = hold.toNanos();
    this.clock = clock;
  }

  /**
   * Records that a quorum confirmed this VM as the leader.
   *
   * @param status status of the log before the quorum was asked
   * @param requestTime when the quorum was asked
   */
  public synchronized void recordConfirmation(LogStatus status, ClockReading requestTime) {
    if (status.term() != term) {
      term = status.term();
      termSinceNanos = requestTime.nanos();
    }
    lastConfirmation = requestTime;
  }

  /** Records that this VM does not lead. */
  public synchronized void recordLoss() {
    term = -1;
  }

  /** Returns whether a quorum has recently confirmed this VM as the leader. */
  public synchronized boolean isConfirmed() {
    ClockReading now = clock.get();
    return term >= 0
        && now.nanos() - lastConfirmation.nanos() < CONFIRMATION_VALIDITY.toNanos()
        && lastConfirmation.agreesWith(now);
  }

  private synchronized boolean isHeld(long leaseTerm) {
    return term == leaseTerm && isConfirmed() && clock.get().nanos() - termSinceNanos >= holdNanos;
  }

  /** Returns the right to call the platform; empty if this VM does not hold it. */
  public synchronized Optional<LeaderLease> lease() {
    long current = term;
    return isHeld(current)
        ? Optional.of(new LeaderLease(vm, current, () -> isHeld(current)))
        : Optional.empty();
  }
}
