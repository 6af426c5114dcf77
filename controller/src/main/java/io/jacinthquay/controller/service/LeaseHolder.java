package io.jacinthquay.controller.service;

import io.jacinthquay.controller.port.Lease;
import io.jacinthquay.controller.port.Leases;
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
 * Keeps one lease on behalf of this process.
 *
 * <pre>{@code
 * holder.step();
 * if (holder.outlasts(timeout)) {
 *   platform.order(order, timeout, () -> holder.outlasts(timeout));
 * }
 * }</pre>
 *
 * <p>The holder counts the length from before it asked, on its own monotonic clock, less the share
 * by which clocks may drift. Where the time of day says that another time has passed, the VM may
 * have been suspended, and the lease isn't used until it is renewed. Safe for use by many threads.
 */
public final class LeaseHolder {
  private static final Logger log = LogManager.getLogger();

  /** How often a lease that another process holds is asked for within one length. */
  private static final int TRIES_PER_LENGTH = 4;

  private final LeaseName name;
  private final String owner;
  private final Leases leases;
  private final Ticker ticker;
  private final LeaseTimes times;
  private volatile Held held;
  private long nextTryNanos;

  /** A lease, when it was asked for, and the instant until which it may be used. */
  private record Held(Lease lease, ClockReading from, long untilNanos) {
    boolean outlasts(Duration span, ClockReading now) {
      return from.agreesWith(now) && now.nanos() + span.toNanos() < untilNanos;
    }
  }

  /**
   * Returns a holder that has no lease yet.
   *
   * @param name the lease
   * @param owner names this process and its run; never used again by a later run
   * @param leases grants leases
   * @param ticker the clock of this VM
   * @param times length and drift
   */
  public LeaseHolder(LeaseName name, String owner, Leases leases, Ticker ticker, LeaseTimes times) {
    this.name = Objects.requireNonNull(name, "name");
    this.owner = Objects.requireNonNull(owner, "owner");
    this.leases = Objects.requireNonNull(leases, "leases");
    this.ticker = Objects.requireNonNull(ticker, "ticker");
    this.times = Objects.requireNonNull(times, "times");
    this.nextTryNanos = ticker.nanos();
  }

  /** Acquires the lease if it is free, and renews it once half of it has passed. */
  public synchronized void step() {
    Held current = held;
    ClockReading before = reading();
    if (current == null || before.nanos() >= current.untilNanos()) {
      tryToAcquire(before);
      return;
    }
    long half = (current.untilNanos() - current.from().nanos()) / 2;
    boolean doubtful = !current.from().agreesWith(before);
    if (doubtful || before.nanos() - current.from().nanos() >= half) {
      accept(before, leases.renew(current.lease(), owner, times.length()));
    }
  }

  private ClockReading reading() {
    return new ClockReading(ticker.nanos(), ticker.wallMillis());
  }

  private void tryToAcquire(ClockReading now) {
    if (now.nanos() - nextTryNanos < 0) {
      return;
    }
    Either<Failure, Lease> answer = leases.acquire(name, owner, times.length());
    accept(now, answer);
    if (answer.isLeft() && answer.getLeft().code() == ResultCode.LEASE_HELD) {
      nextTryNanos = now.nanos() + times.length().toNanos() / TRIES_PER_LENGTH;
    }
  }

  private void accept(ClockReading before, Either<Failure, Lease> answer) {
    logAnswer(answer);
    if (answer.isRight()) {
      Lease lease = answer.get();
      held = new Held(lease, before, before.nanos() + times.usableNanos(lease.length()));
    } else if (answer.getLeft().code() == ResultCode.LEASE_LOST) {
      held = null;
    }
  }

  private void logAnswer(Either<Failure, Lease> answer) {
    StringMapMessage message = new StringMapMessage().with("lease", name.value());
    if (answer.isLeft() && answer.getLeft().code() != ResultCode.LEASE_HELD) {
      message
          .with("event", "lease.refused")
          .with("code", answer.getLeft().code().number())
          .with("detail", answer.getLeft().detail());
      log.warn(message);
    } else if (answer.isRight() && held == null) {
      message.with("event", "lease.held").with("fencing", answer.get().fencing().value());
      log.info(message);
    }
  }

  /** Returns the lease, if this process holds it now. */
  public Optional<Lease> lease() {
    return heldFor(Duration.ZERO).map(Held::lease);
  }

  /**
   * Returns whether the lease lasts longer than a time from now.
   *
   * @param span the time that an action may take
   */
  public boolean outlasts(Duration span) {
    return heldFor(span).isPresent();
  }

  /**
   * Returns whether this very grant lasts longer than a time from now.
   *
   * @param lease the grant under which an action was begun
   * @param span the time that the action may take
   */
  public boolean outlasts(Lease lease, Duration span) {
    return heldFor(span).filter(h -> h.lease().fencing().equals(lease.fencing())).isPresent();
  }

  private Optional<Held> heldFor(Duration span) {
    return Optional.ofNullable(held).filter(current -> current.outlasts(span, reading()));
  }

  /** Gives the lease back, so that another process need not wait for its end. */
  public synchronized void release() {
    Held current = held;
    held = null;
    if (current != null) {
      leases.release(current.lease(), owner);
    }
  }
}
