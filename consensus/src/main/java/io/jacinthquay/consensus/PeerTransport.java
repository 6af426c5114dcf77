package io.jacinthquay.consensus;

import io.jacinthquay.consensus.raft.Message;

/**
 * Carries messages between members. Messages may be lost, repeated, delayed and reordered. The
 * address follows from {@code message.to().member()}; the incarnation travels with the message and
 * is checked by the receiver.
 */
public interface PeerTransport {
  /**
   * Starts receiving. Called once, before the first send.
   *
   * @param receiver takes incoming messages on any thread and never blocks for long
   */
  void start(MessageReceiver receiver);

  /**
   * Sends a message, or drops it if the peer is slow or away. Must not block.
   *
   * @param message the message
   */
  void send(Message message);

  /** Stops receiving and closes connections. */
  void stop();
}
