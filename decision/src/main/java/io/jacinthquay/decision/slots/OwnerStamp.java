package io.jacinthquay.decision.slots;

import io.jacinthquay.model.VmId;
import java.util.Objects;

/**
 * Which owner sent a message, and up to when the session with it lasts.
 *
 * @param owner the sender
 * @param incarnation the start of the sender
 * @param basisNanos the receiver's own clock at the latest message that the owner has taken in
 * @param leaseNanos how long after {@code basisNanos} the receiver may use its slots, 0 or more
 * @param sentAtNanos the sender's monotonic clock
 */
public record OwnerStamp(
    VmId owner, long incarnation, long basisNanos, long leaseNanos, long sentAtNanos) {
  /**
   * Checks that the sender is present.
   *
   * @throws NullPointerException if {@code owner} is missing
   */
  public OwnerStamp {
    Objects.requireNonNull(owner, "owner");
  }

  /** Returns up to when the receiver may use its slots, on the receiver's clock. */
  public long validUntilNanos() {
    return basisNanos + leaseNanos;
  }
}
