package io.jacinthquay.router.port;

import io.jacinthquay.decision.membership.GossipMessage;
import io.jacinthquay.decision.slo.SloSnapshot;
import io.jacinthquay.decision.slots.SlotMessage;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.VmId;
import java.time.Duration;
import java.util.Collection;
import java.util.List;

/** Receives messages from other routers and calls from other VMs; thread-safe. */
public interface PeerReceiver {
  /** Receives a slot message. */
  void receiveSlotMessage(SlotMessage message);

  /** Receives a membership message. */
  void receiveGossip(GossipMessage message);

  /** Stores a copy of the usage counters of another router. */
  void storeUsageCopies(VmId from, List<UsageCount> counts);

  /** Adds withdrawn keys that another router sent. */
  void addWithdrawnKeys(Collection<KeyDigest> keys);

  /** Withdraws keys on this side of a network partition and sends them to all other routers. */
  void withdrawKeys(Collection<KeyDigest> keys);

  /** Returns how many requests met their latency targets. */
  SloSnapshot slo();

  /** Returns the ages of the data that this router decides by. */
  RouterAges ages();

  /**
   * Returns configuration changes for a reader.
   *
   * @param reader the VM that reads
   * @param position the versions that the reader has in force
   * @param wait longest time to wait for a newer version
   */
  ConfigUpdate changes(VmId reader, ConfigPosition position, Duration wait);
}
