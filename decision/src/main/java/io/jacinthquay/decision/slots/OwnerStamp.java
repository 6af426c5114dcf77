package io.jacinthquay.decision.slots;

import io.jacinthquay.model.VmId;
import java.util.Objects;

/**
 * The sender of a message to a router, and the lease of the session with it.
 *
 * @param owner the sender
 * @param incarnation the incarnation number of the sender, which grows with every start
 * @param leaseStartNanos start of the lease: when the receiver sent the latest message that the
 *     owner has received, on the receiver's clock
 * @param leaseNanos duration of the lease, during which the receiver may use its slots, 0 or more
 * @param sentAtNanos time of sending on the sender's monotonic clock
 */
public record OwnerStamp(
    VmId owner, long incarnation, long leaseStartNanos, long leaseNanos, long sentAtNanos) {
  /**
   * Checks that the sender is present.
   *
   * @throws NullPointerException if {@code owner} is missing
   */
  public OwnerStamp {
    Objects.requireNonNull(owner, "owner");
  }

  /** Returns when the lease expires, on the receiver's clock. */
  public long validUntilNanos() {
    return leaseStartNanos + leaseNanos;
  }
}
