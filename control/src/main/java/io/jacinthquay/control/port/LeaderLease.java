package io.jacinthquay.control.port;

import java.util.Objects;
import java.util.function.BooleanSupplier;

/**
 * The right of the leader to call the platform, passed with each call.
 *
 * @param holder name of the VM that leads
 * @param fencingToken fencing token, which grows with every change of the holder
 * @param heldCheck returns whether the lease is still held; called just before bytes are written
 */
public record LeaderLease(String holder, long fencingToken, BooleanSupplier heldCheck) {
  /** Checks that the holder and the check are not null. */
  public LeaderLease {
    Objects.requireNonNull(holder, "holder");
    Objects.requireNonNull(heldCheck, "holds");
  }
}
