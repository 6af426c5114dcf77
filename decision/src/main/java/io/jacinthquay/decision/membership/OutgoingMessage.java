package io.jacinthquay.decision.membership;

import io.jacinthquay.model.VmId;
import java.util.Objects;

/**
 * A message to send.
 *
 * @param to the receiver
 * @param address the address at which it is reached
 * @param message the message
 */
public record OutgoingMessage(VmId to, String address, GossipMessage message) {
  /**
   * Checks that no component is null.
   *
   * @throws NullPointerException if a component is null
   */
  public OutgoingMessage {
    Objects.requireNonNull(to, "to");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(message, "message");
  }
}
