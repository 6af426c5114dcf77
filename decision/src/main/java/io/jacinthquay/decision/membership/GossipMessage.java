package io.jacinthquay.decision.membership;

import io.jacinthquay.model.VmId;

/** A message between routers. It may be lost, duplicated or delayed. */
public sealed interface GossipMessage {
  /** Returns the sender. */
  VmId from();

  /** Returns the updates that the message carries. */
  GossipPayload payload();

  /**
   * Asks whether the receiver is alive.
   *
   * @param sequence the number that the answer repeats
   */
  record Ping(VmId from, long sequence, GossipPayload payload) implements GossipMessage {}

  /**
   * Answers a ping.
   *
   * @param sequence the number in the ping
   * @param about the member that is alive: the sender, or the target of a ping request
   */
  record Ack(VmId from, long sequence, VmId about, GossipPayload payload)
      implements GossipMessage {}

  /**
   * Asks the receiver to ping another member on behalf of the sender.
   *
   * @param sequence the number that the answer repeats
   * @param target the member to ping
   */
  record PingRequest(VmId from, long sequence, VmId target, GossipPayload payload)
      implements GossipMessage {}

  /**
   * Exchanges the full state of the failure domain; the payload contains all other members.
   *
   * @param self the sender
   * @param answer whether this answers another sync and must not be answered itself
   */
  record Sync(Member self, boolean answer, GossipPayload payload) implements GossipMessage {
    @Override
    public VmId from() {
      return self.id();
    }
  }

  /** Sends summaries to a relay of another failure domain; the payload contains them. */
  record Summaries(VmId from, GossipPayload payload) implements GossipMessage {}
}
