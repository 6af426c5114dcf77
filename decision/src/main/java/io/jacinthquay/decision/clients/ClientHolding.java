package io.jacinthquay.decision.clients;

import java.util.Objects;

/**
 * What one connection holds of something that all clients share.
 *
 * @param connection names the connection to the caller of the decision
 * @param peer the address of the client
 * @param held what is held, for example in bytes; 0 or more
 * @param idleMillis time since the connection last made progress, in milliseconds
 * @param rate average progress since the connection began to hold something, in bytes per second
 */
public record ClientHolding<C>(C connection, Object peer, long held, long idleMillis, double rate) {
  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if an amount is negative
   */
  public ClientHolding {
    Objects.requireNonNull(peer, "peer");
    if (held < 0) {
      throw new IllegalArgumentException("held must be 0 or more: " + held);
    }
  }
}
