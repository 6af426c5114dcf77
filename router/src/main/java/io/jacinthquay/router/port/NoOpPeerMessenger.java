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
  public void addresses(Map<VmId, InetSocketAddress> addresses) {
    // There are no peers.
  }

  @Override
  public boolean isReachable(VmId router) {
    return false;
  }

  @Override
  public void slots(VmId to, SlotMessage message) {
    // There are no peers.
  }

  @Override
  public void gossip(OutgoingMessage message) {
    // There are no peers.
  }

  @Override
  public void usage(VmId to, List<UsageCount> counts) {
    // There are no peers.
  }

  @Override
  public void withdrawn(VmId to, Collection<KeyDigest> keys) {
    // There are no peers.
  }
}
