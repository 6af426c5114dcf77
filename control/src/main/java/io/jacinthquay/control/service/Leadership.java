package io.jacinthquay.control.service;

import io.jacinthquay.consensus.LogStatus;
import io.jacinthquay.control.port.Fence;
import io.jacinthquay.runtime.time.ClockReading;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Knows whether this VM leads, confirmed by a quorum a moment ago, and since when.
 *
 * <p>The term numbers who may act for all: no two VMs lead in one term and terms only grow. A new
 * leader acts only after the hold time, so that an act of the one before, also one that was late,
 * is over and no VM acts again between two acts of another within that time.
 *
 * <p>A VM that was suspended, or whose time of day was stepped, does not know how old its last
 * confirmation is, and waits for another.
 */
public final class Leadership {
  /** Longest time without a quorum's confirmation in which the leader still counts as such. */
  static final Duration CONFIRMED_FOR = Duration.ofMillis(600);

  private final String vm;
  private final Supplier<ClockReading> clock;
  private final long holdNanos;
  private long term = -1;
  private long sinceNanos;
  private ClockReading confirmedAt = new ClockReading(0, 0);

  /**
   * Returns a view that leads nothing.
   *
   * @param vm name of this VM
   * @param hold time between two acts of different VMs
   * @param clock both clocks of this VM
   */
  public Leadership(String vm, Duration hold, Supplier<ClockReading> clock) {
    this.vm = vm;
    this.holdNanos = hold.toNanos();
    this.clock = clock;
  }

  /**
   * Takes in that a quorum confirmed this VM as leader.
   *
   * @param status the status from before the quorum was asked
   * @param asked when it was asked
   */
  public synchronized void confirmed(LogStatus status, ClockReading asked) {
    if (status.term() != term) {
      term = status.term();
      sinceNanos = asked.nanos();
    }
    confirmedAt = asked;
  }

  /** Takes in that this VM does not lead. */
  public synchronized void lost() {
    term = -1;
  }

  /** Returns whether a quorum confirmed this VM as leader a moment ago. */
  public synchronized boolean isConfirmed() {
    ClockReading now = clock.get();
    return term >= 0
        && now.nanos() - confirmedAt.nanos() < CONFIRMED_FOR.toNanos()
        && confirmedAt.agreesWith(now);
  }

  private synchronized boolean mayAct(long inTerm) {
    return term == inTerm && isConfirmed() && clock.get().nanos() - sinceNanos >= holdNanos;
  }

  /** Returns the right to act for all, if this VM has it. */
  public synchronized Optional<Fence> fence() {
    long current = term;
    return mayAct(current)
        ? Optional.of(new Fence(vm, current, () -> mayAct(current)))
        : Optional.empty();
  }
}
