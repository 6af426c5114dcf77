package io.jacinthquay.decision.slots;

import io.jacinthquay.model.VmId;
import java.util.Objects;

/**
 * Who sent a message to an owner, and when.
 *
 * @param router the sender
 * @param incarnation the start of the sender
 * @param sequence grows with every message of one sender and scope
 * @param sentAtNanos the sender's monotonic clock
 * @param heardNanos the latest {@link OwnerStamp#sentAtNanos} that the sender has taken in
 */
public record ClientStamp(
    VmId router, long incarnation, long sequence, long sentAtNanos, long heardNanos) {
  /**
   * Checks that the sender is present.
   *
   * @throws NullPointerException if {@code router} is missing
   */
  public ClientStamp {
    Objects.requireNonNull(router, "router");
  }
}
