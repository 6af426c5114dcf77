package io.jacinthquay.decision.membership;

import io.jacinthquay.model.VmId;

/** The messages between routers; each may be lost, repeated or late. */
public sealed interface GossipMessage {
  /** Returns the sender. */
  VmId from();

  /** Returns the news that come along. */
  GossipPayload payload();

  /**
   * Asks whether the receiver lives.
   *
   * @param sequence returned in the answer
   */
  record Ping(VmId from, long sequence, GossipPayload payload) implements GossipMessage {}

  /**
   * Answers a ping.
   *
   * @param sequence the number in the ping
   * @param about whose life is proven: the sender's, or the target's of a ping request
   */
  record Ack(VmId from, long sequence, VmId about, GossipPayload payload)
      implements GossipMessage {}

  /**
   * Asks the receiver to ping another member for the sender.
   *
   * @param sequence returned in the answer
   * @param target the member to ping
   */
  record PingRequest(VmId from, long sequence, VmId target, GossipPayload payload)
      implements GossipMessage {}

  /**
   * Hands over everything known of the own failure domain; the payload holds all members.
   *
   * @param self the sender
   * @param answer whether this answers another one and wants no answer itself
   */
  record Sync(Member self, boolean answer, GossipPayload payload) implements GossipMessage {
    @Override
    public VmId from() {
      return self.id();
    }
  }

  /** Tells another failure domain's relay the summaries; the payload holds them. */
  record Summaries(VmId from, GossipPayload payload) implements GossipMessage {}
}
