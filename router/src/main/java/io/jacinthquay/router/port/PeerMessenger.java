package io.jacinthquay.router.port;

import io.jacinthquay.decision.membership.OutgoingMessage;
import io.jacinthquay.decision.slots.SlotMessage;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.VmId;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * Sends messages to other routers.
 *
 * <p>Each method queues a message and returns at once; delivery is best effort.
 */
public interface PeerMessenger {
  /** Drops all messages; for a router without peers. */
  PeerMessenger NONE = new NoOpPeerMessenger();

  /** Sets the addresses of the other routers. */
  void setAddresses(Map<VmId, InetSocketAddress> addresses);

  /** Returns false if the last attempt to reach the router failed. */
  boolean isReachable(VmId router);

  /** Sends a slot message. */
  void sendSlotMessage(VmId to, SlotMessage message);

  /** Sends a membership message to the router that it names. */
  void sendGossip(OutgoingMessage message);

  /** Sends usage counters of this router, of which the receiver keeps a copy. */
  void sendUsage(VmId to, List<UsageCount> counts);

  /** Sends keys that were withdrawn on this side of a network partition. */
  void sendWithdrawnKeys(VmId to, Collection<KeyDigest> keys);
}
