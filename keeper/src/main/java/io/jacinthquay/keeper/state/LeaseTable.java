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
 * All leases by name.
 *
 * <p>A holder counts the granted length from before it asked. The table waits that length and a
 * margin from the leader's stamp, which is later, before it grants the lease to another holder; the
 * margin covers clocks that run at unlike rates.
 *
 * @param leases leases by name, kept after release because of their fencing numbers
 */
public record LeaseTable(TreeMap<String, Lease> leases) {
  /** Shortest lease in milliseconds. */
  static final long MIN_LENGTH_MILLIS = 100;

  /** Longest lease in milliseconds. */
  static final long MAX_LENGTH_MILLIS = 60_000;

  /** Part of the length that is added as margin: clocks may differ in rate by one in this many. */
  static final long MARGIN_DIVISOR = 20;

  /** Most leases. */
  static final int MOST_LEASES = 10_000;

  static final LeaseTable EMPTY = new LeaseTable(TreeMap.empty());

  Step<LeaseTable> grant(LeaseCommand command, StateClock clock) {
    Optional<Failure> refused = refusal(command);
    if (refused.isPresent()) {
      return new Step<>(this, Answers.failure(refused.get()));
    }
    return command.isSetFencing() ? renew(command, clock) : acquire(command, clock);
  }

  private Optional<Failure> refusal(LeaseCommand command) {
    try {
      LeaseName name = new LeaseName(command.getName());
      if (!leases.containsKey(name.value()) && leases.size() >= MOST_LEASES) {
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

  private Step<LeaseTable> acquire(LeaseCommand command, StateClock clock) {
    Optional<Lease> current = leases.get(command.getName()).toJavaOptional();
    boolean held = current.isPresent() && current.get().heldAt(clock.millis());
    if (held && !current.get().holder().equals(command.getHolder())) {
      String detail = "held by " + current.get().holder();
      return new Step<>(this, Answers.failure(ResultCode.LEASE_HELD, detail));
    }
    long last = current.map(Lease::fencing).orElse(0L);
    return granted(command, held ? last : last + 1, clock);
  }

  private Step<LeaseTable> renew(LeaseCommand command, StateClock clock) {
    Optional<Lease> current = leases.get(command.getName()).toJavaOptional();
    boolean holds =
        current.isPresent()
            && current.get().heldAt(clock.millis())
            && current.get().holder().equals(command.getHolder())
            && current.get().fencing() == command.getFencing();
    return holds
        ? granted(command, command.getFencing(), clock)
        : new Step<>(this, Answers.failure(ResultCode.LEASE_LOST));
  }

  private Step<LeaseTable> granted(LeaseCommand command, long fencing, StateClock clock) {
    long length = command.getLengthMillis();
    long expires = clock.millis() + length + length / MARGIN_DIVISOR;
    long before = leases.get(command.getName()).map(Lease::expiresMillis).getOrElse(0L);
    Lease lease =
        new Lease(command.getName(), command.getHolder(), fencing, Math.max(before, expires));
    LeaseGrant grant = new LeaseGrant(lease.name(), lease.holder(), fencing, length);
    return new Step<>(new LeaseTable(leases.put(lease.name(), lease)), CommandAnswer.lease(grant));
  }

  Step<LeaseTable> release(ReleaseLeaseCommand command) {
    Optional<Lease> current = leases.get(command.getName()).toJavaOptional();
    boolean holds =
        current.isPresent()
            && current.get().holder().equals(command.getHolder())
            && current.get().fencing() == command.getFencing();
    if (!holds) {
      return new Step<>(this, Answers.failure(ResultCode.LEASE_LOST));
    }
    Lease free = new Lease(command.getName(), command.getHolder(), command.getFencing(), 0);
    return new Step<>(new LeaseTable(leases.put(free.name(), free)), Answers.done());
  }

  /** Returns whether a proof names the present holder's grant. */
  boolean proves(LeaseProof proof, StateClock clock) {
    return proof != null
        && leases
            .get(proof.getName())
            .exists(l -> l.fencing() == proof.getFencing() && l.heldAt(clock.millis()));
  }

  LeaseTable restored(Lease lease) {
    return new LeaseTable(leases.put(lease.name(), lease));
  }
}
