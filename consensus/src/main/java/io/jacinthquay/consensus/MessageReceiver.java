package io.jacinthquay.consensus;

import io.jacinthquay.consensus.raft.Message;

/** Receives messages from peers. */
@FunctionalInterface
public interface MessageReceiver {
  /**
   * Queues a message for processing, or drops it if the queue is full.
   *
   * @param message the message
   */
  void receive(Message message);
}
