package io.jacinthquay.router.port;

import io.jacinthquay.decision.membership.OutgoingMessage;
import io.jacinthquay.decision.slots.SlotMessage;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.VmId;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/** A messenger without peers: sends nothing and reaches no router. */
final class NoOpPeerMessenger implements PeerMessenger {
  @Override
  public void setAddresses(Map<VmId, InetSocketAddress> addresses) {
    // There are no peers.
  }

  @Override
  public boolean isReachable(VmId router) {
    return false;
  }

  @Override
  public void sendSlotMessage(VmId to, SlotMessage message) {
    // There are no peers.
  }

  @Override
  public void sendGossip(OutgoingMessage message) {
    // There are no peers.
  }

  @Override
  public void sendUsage(VmId to, List<UsageCount> counts) {
    // There are no peers.
  }

  @Override
  public void sendWithdrawnKeys(VmId to, Collection<KeyDigest> keys) {
    // There are no peers.
  }
}
