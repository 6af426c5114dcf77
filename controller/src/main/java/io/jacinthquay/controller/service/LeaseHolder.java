package io.jacinthquay.controller.service;

import io.jacinthquay.controller.port.Lease;
import io.jacinthquay.controller.port.LeaseStore;
import io.jacinthquay.controller.port.Ticker;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.LeaseName;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.runtime.time.ClockReading;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;

/**
 * Acquires and renews one lease for this process.
 *
 * <pre>{@code
 * holder.acquireOrRenew();
 * if (holder.isValidFor(timeout)) {
 *   platform.sendOrder(order, fencing, timeout, () -> holder.isValidFor(timeout));
 * }
 * }</pre>
 *
 * <p>The holder counts the duration of the lease from before it sent its request, on its own
 * monotonic clock, less the ratio by which clocks may drift. If the wall clock shows a different
 * elapsed time, the VM may have been suspended, and the lease isn't used until it is renewed. Safe
 * for use by many threads.
 */
public final class LeaseHolder {
  private static final Logger log = LogManager.getLogger();

  /** Acquire attempts within one lease duration while another process holds the lease. */
  private static final int ATTEMPTS_PER_LEASE = 4;

  private final LeaseName name;
  private final String owner;
  private final LeaseStore leases;
  private final Ticker ticker;
  private final LeaseOptions options;
  private volatile HeldLease held;
  private long nextAttemptNanos;

  /** A grant, the clocks before it was requested, and when its use must end. */
  private record HeldLease(Lease lease, ClockReading requested, long expiresNanos) {
    boolean isValidFor(Duration duration, ClockReading now) {
      return requested.agreesWith(now) && now.nanos() + duration.toNanos() < expiresNanos;
    }
  }

  /**
   * Returns a holder that has no lease yet.
   *
   * @param name the name of the lease
   * @param owner identifies this run of the process; a later run must use another value
   * @param leases the leases in the replicated log
   * @param ticker the clocks of this VM
   * @param options duration of the lease and clock drift
   */
  public LeaseHolder(
      LeaseName name, String owner, LeaseStore leases, Ticker ticker, LeaseOptions options) {
    this.name = Objects.requireNonNull(name, "name");
    this.owner = Objects.requireNonNull(owner, "owner");
    this.leases = Objects.requireNonNull(leases, "leases");
    this.ticker = Objects.requireNonNull(ticker, "ticker");
    this.options = Objects.requireNonNull(options, "options");
    this.nextAttemptNanos = ticker.nanos();
  }

  /**
   * Acquires the lease if it is free, and renews it once half of its duration has passed or the
   * clocks disagree.
   */
  public synchronized void acquireOrRenew() {
    HeldLease current = held;
    ClockReading before = readClocks();
    if (current == null || before.nanos() >= current.expiresNanos()) {
      acquireIfDue(before);
      return;
    }
    long halfNanos = (current.expiresNanos() - current.requested().nanos()) / 2;
    boolean clocksDisagree = !current.requested().agreesWith(before);
    if (clocksDisagree || before.nanos() - current.requested().nanos() >= halfNanos) {
      handleResult(before, leases.renew(current.lease(), owner, options.length()));
    }
  }

  private ClockReading readClocks() {
    return new ClockReading(ticker.nanos(), ticker.wallMillis());
  }

  private void acquireIfDue(ClockReading now) {
    if (now.nanos() - nextAttemptNanos < 0) {
      return;
    }
    Either<Failure, Lease> result = leases.acquire(name, owner, options.length());
    handleResult(now, result);
    if (result.isLeft() && result.getLeft().code() == ResultCode.LEASE_HELD) {
      nextAttemptNanos = now.nanos() + options.length().toNanos() / ATTEMPTS_PER_LEASE;
    }
  }

  private void handleResult(ClockReading before, Either<Failure, Lease> result) {
    logResult(result);
    if (result.isRight()) {
      Lease lease = result.get();
      held = new HeldLease(lease, before, before.nanos() + options.usableNanos(lease.length()));
    } else if (result.getLeft().code() == ResultCode.LEASE_LOST) {
      held = null;
    }
  }

  private void logResult(Either<Failure, Lease> result) {
    StringMapMessage message = new StringMapMessage().with("lease", name.value());
    if (result.isLeft() && result.getLeft().code() != ResultCode.LEASE_HELD) {
      message
          .with("event", "lease.refused")
          .with("code", result.getLeft().code().number())
          .with("detail", result.getLeft().detail());
      log.warn(message);
    } else if (result.isRight() && held == null) {
      message.with("event", "lease.held").with("fencing", result.get().fencing().value());
      log.info(message);
    }
  }

  /** Returns the lease, or empty if this process doesn't hold it now. */
  public Optional<Lease> lease() {
    return validFor(Duration.ZERO).map(HeldLease::lease);
  }

  /**
   * Returns whether the lease stays valid for a time from now.
   *
   * @param duration the time that an action may take
   */
  public boolean isValidFor(Duration duration) {
    return validFor(duration).isPresent();
  }

  /**
   * Returns whether the same grant stays valid for a time from now.
   *
   * @param lease the grant under which an action was started
   * @param duration the time that the action may take
   */
  public boolean isValidFor(Lease lease, Duration duration) {
    return validFor(duration)
        .filter(current -> current.lease().fencing().equals(lease.fencing()))
        .isPresent();
  }

  private Optional<HeldLease> validFor(Duration duration) {
    return Optional.ofNullable(held).filter(current -> current.isValidFor(duration, readClocks()));
  }

  /** Releases the lease, so that another process can acquire it before it expires. */
  public synchronized void release() {
    HeldLease current = held;
    held = null;
    if (current != null) {
      leases.release(current.lease(), owner);
    }
  }
}
