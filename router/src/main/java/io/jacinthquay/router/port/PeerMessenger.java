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
 * <p>Each call takes a message for delivery and returns at once; a message may be lost.
 */
public interface PeerMessenger {
  /** Sends to nobody. */
  PeerMessenger NONE = new NoPeers();

  /** Sets where routers are reached. */
  void addresses(Map<VmId, InetSocketAddress> addresses);

  /** Returns false while the last try to reach a router failed a moment ago. */
  boolean isReachable(VmId router);

  /** Sends a message about slots. */
  void slots(VmId to, SlotMessage message);

  /** Sends a message of the membership. */
  void gossip(OutgoingMessage message);

  /** Sends usage counters of this router to be kept. */
  void usage(VmId to, List<UsageCount> counts);

  /** Passes on keys that were withdrawn on this side of a cut. */
  void withdrawn(VmId to, Collection<KeyDigest> keys);
}
