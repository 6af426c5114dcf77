package io.jacinthquay.keeper.state;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.LeaseName;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.wire.gen.CommandAnswer;
import io.jacinthquay.wire.gen.LeaseCommand;
import io.jacinthquay.wire.gen.LeaseGrant;
import io.jacinthquay.wire.gen.LeaseProof;
import io.jacinthquay.wire.gen.ReleaseLeaseCommand;
import io.vavr.collection.TreeMap;
import java.util.Optional;

/**
 * The leases, by name.
 *
 * <p>A holder measures the granted length from before it sent the request. The table measures from
 * the leader's stamp, which is later, and waits for that length plus a margin before it grants the
 * lease to another holder. The margin covers clocks that run at different rates.
 *
 * @param leases leases by name; retained after release because of their fencing tokens
 */
public record LeaseTable(TreeMap<String, Lease> leases) {
  /** Minimum length of a lease, in milliseconds. */
  static final long MIN_LENGTH_MILLIS = 100;

  /** Maximum length of a lease, in milliseconds. */
  static final long MAX_LENGTH_MILLIS = 60_000;

  /**
   * The margin is the length divided by this number, and covers clocks that differ in rate by up to
   * one part in this number.
   */
  static final long MARGIN_DIVISOR = 20;

  /** Maximum number of leases. */
  static final int MAX_LEASES = 10_000;

  static final LeaseTable EMPTY = new LeaseTable(TreeMap.empty());

  TableUpdate<LeaseTable> grant(LeaseCommand command, StateClock clock) {
    Optional<Failure> failure = validate(command);
    if (failure.isPresent()) {
      return new TableUpdate<>(this, CommandAnswers.failure(failure.get()));
    }
    return command.isSetFencing() ? renew(command, clock) : acquire(command, clock);
  }

  private Optional<Failure> validate(LeaseCommand command) {
    try {
      LeaseName name = new LeaseName(command.getName());
      if (!leases.containsKey(name.value()) && leases.size() >= MAX_LEASES) {
        return Optional.of(Failure.of(ResultCode.LEASE_HELD, "there are too many leases"));
      }
    } catch (IllegalArgumentException e) {
      return Optional.of(Failure.of(ResultCode.BAD_REQUEST, e.getMessage()));
    }
    long length = command.getLengthMillis();
    if (length < MIN_LENGTH_MILLIS || length > MAX_LENGTH_MILLIS) {
      String range = MIN_LENGTH_MILLIS + " to " + MAX_LENGTH_MILLIS;
      return Optional.of(Failure.of(ResultCode.BAD_REQUEST, "a lease lasts " + range + " ms"));
    }
    return Optional.empty();
  }

  private TableUpdate<LeaseTable> acquire(LeaseCommand command, StateClock clock) {
    Optional<Lease> current = leases.get(command.getName()).toJavaOptional();
    boolean held = current.isPresent() && current.get().heldAt(clock.millis());
    if (held && !current.get().holder().equals(command.getHolder())) {
      String detail = "held by " + current.get().holder();
      return new TableUpdate<>(this, CommandAnswers.failure(ResultCode.LEASE_HELD, detail));
    }
    long lastToken = current.map(Lease::fencingToken).orElse(0L);
    return grantWithToken(command, held ? lastToken : lastToken + 1, clock);
  }

  private TableUpdate<LeaseTable> renew(LeaseCommand command, StateClock clock) {
    Optional<Lease> current = leases.get(command.getName()).toJavaOptional();
    boolean holds =
        current.isPresent()
            && current.get().heldAt(clock.millis())
            && current.get().holder().equals(command.getHolder())
            && current.get().fencingToken() == command.getFencing();
    return holds
        ? grantWithToken(command, command.getFencing(), clock)
        : new TableUpdate<>(this, CommandAnswers.failure(ResultCode.LEASE_LOST));
  }

  private TableUpdate<LeaseTable> grantWithToken(
      LeaseCommand command, long fencingToken, StateClock clock) {
    long length = command.getLengthMillis();
    long expires = clock.millis() + length + length / MARGIN_DIVISOR;
    long previousExpiry = leases.get(command.getName()).map(Lease::expiresMillis).getOrElse(0L);
    Lease lease =
        new Lease(
            command.getName(),
            command.getHolder(),
            fencingToken,
            Math.max(previousExpiry, expires));
    LeaseGrant grant = new LeaseGrant(lease.name(), lease.holder(), fencingToken, length);
    return new TableUpdate<>(
        new LeaseTable(leases.put(lease.name(), lease)), CommandAnswer.lease(grant));
  }

  TableUpdate<LeaseTable> release(ReleaseLeaseCommand command) {
    Optional<Lease> current = leases.get(command.getName()).toJavaOptional();
    boolean holds =
        current.isPresent()
            && current.get().holder().equals(command.getHolder())
            && current.get().fencingToken() == command.getFencing();
    if (!holds) {
      return new TableUpdate<>(this, CommandAnswers.failure(ResultCode.LEASE_LOST));
    }
    Lease released = new Lease(command.getName(), command.getHolder(), command.getFencing(), 0);
    return new TableUpdate<>(
        new LeaseTable(leases.put(released.name(), released)), CommandAnswers.done());
  }

  /** Returns whether a proof matches the current grant of a lease that is held. */
  boolean isHeldBy(LeaseProof proof, StateClock clock) {
    return proof != null
        && leases
            .get(proof.getName())
            .exists(l -> l.fencingToken() == proof.getFencing() && l.heldAt(clock.millis()));
  }

  LeaseTable withRestored(Lease lease) {
    return new LeaseTable(leases.put(lease.name(), lease));
  }
}
