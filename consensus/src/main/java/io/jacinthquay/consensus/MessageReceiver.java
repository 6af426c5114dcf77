package io.jacinthquay.consensus;

import io.jacinthquay.consensus.raft.Message;

/** Takes messages from peers. */
@FunctionalInterface
public interface MessageReceiver {
  /**
   * Takes one message; a message that finds the queue full is dropped.
   *
   * @param message the message
   */
  void receive(Message message);
}
