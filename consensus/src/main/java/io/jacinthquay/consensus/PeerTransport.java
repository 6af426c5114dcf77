package io.jacinthquay.consensus;

import io.jacinthquay.consensus.raft.Message;

/**
 * Sends messages between members. Messages may be lost, duplicated, delayed and reordered. {@code
 * message.to().member()} determines the address; the incarnation is sent as part of the message and
 * checked by the receiver.
 */
public interface PeerTransport {
  /**
   * Starts receiving. Called once, before the first send.
   *
   * @param receiver receives incoming messages; called on any thread, doesn't block for long
   */
  void start(MessageReceiver receiver);

  /**
   * Sends a message, or drops it if the peer is slow or unreachable. Must not block.
   *
   * @param message the message
   */
  void send(Message message);

  /** Stops receiving and closes connections. */
  void stop();
}
