package io.jacinthquay.router.port;

import io.jacinthquay.decision.membership.GossipMessage;
import io.jacinthquay.decision.slo.SloSnapshot;
import io.jacinthquay.decision.slots.SlotMessage;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.VmId;
import java.time.Duration;
import java.util.Collection;
import java.util.List;

/** Takes what other routers send; any thread may call it. */
public interface PeerReceiver {
  /** Takes a message about slots. */
  void slots(SlotMessage message);

  /** Takes a message of the membership. */
  void gossip(GossipMessage message);

  /** Keeps usage counters of another router. */
  void usage(VmId from, List<UsageCount> counts);

  /** Takes in keys that another router knows to be withdrawn. */
  void withdrawn(Collection<KeyDigest> keys);

  /** Withdraws keys on this side of a cut and tells every other router. */
  void withdraw(Collection<KeyDigest> keys);

  /** Returns how requests met their targets. */
  SloSnapshot slo();

  /** Returns the ages of what this router decides by. */
  RouterAges ages();

  /**
   * Serves configuration to a reader.
   *
   * @param reader the reading VM
   * @param position what the reader has in force
   * @param wait longest time to wait for something newer
   */
  ConfigUpdate changes(VmId reader, ConfigPosition position, Duration wait);
}
