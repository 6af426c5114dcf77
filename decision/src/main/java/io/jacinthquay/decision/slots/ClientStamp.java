package io.jacinthquay.decision.slots;

import io.jacinthquay.model.VmId;
import java.util.Objects;

/**
 * The sender and the time of a message to an owner.
 *
 * @param router the sender
 * @param incarnation the incarnation number of the sender, which grows with every start
 * @param sequence sequence number of the message, per sender and scope
 * @param sentAtNanos time of sending on the sender's monotonic clock
 * @param acknowledgedNanos the latest {@link OwnerStamp#sentAtNanos} that the sender has received
 */
public record ClientStamp(
    VmId router, long incarnation, long sequence, long sentAtNanos, long acknowledgedNanos) {
  /**
   * Checks that the sender is present.
   *
   * @throws NullPointerException if {@code router} is missing
   */
  public ClientStamp {
    Objects.requireNonNull(router, "router");
  }
}
