package io.jacinthquay.decision.slots;

import io.jacinthquay.model.VmId;
import java.util.Objects;

/**
 * Which owner sent a message, and up to when the session with it lasts.
 *
 * @param owner the sender
 * @param incarnation the start of the sender
 * @param basisNanos the receiver's own clock at the latest message that the owner has taken in; the
 *     lease of the session counts from there
 */
public record OwnerStamp(VmId owner, long incarnation, long basisNanos) {
  /**
   * Checks that the sender is present.
   *
   * @throws NullPointerException if {@code owner} is missing
   */
  public OwnerStamp {
    Objects.requireNonNull(owner, "owner");
  }
}
