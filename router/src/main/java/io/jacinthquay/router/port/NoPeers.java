package io.jacinthquay.router.port;

import io.jacinthquay.decision.membership.OutgoingMessage;
import io.jacinthquay.decision.slots.SlotMessage;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.VmId;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/** The messenger of a router that is alone. */
final class NoPeers implements PeerMessenger {
  @Override
  public void addresses(Map<VmId, InetSocketAddress> addresses) {
    // There is nobody to reach.
  }

  @Override
  public boolean isReachable(VmId router) {
    return false;
  }

  @Override
  public void slots(VmId to, SlotMessage message) {
    // There is nobody to send to.
  }

  @Override
  public void gossip(OutgoingMessage message) {
    // There is nobody to send to.
  }

  @Override
  public void usage(VmId to, List<UsageCount> counts) {
    // There is nobody to send to.
  }

  @Override
  public void withdrawn(VmId to, Collection<KeyDigest> keys) {
    // There is nobody to send to.
  }
}
