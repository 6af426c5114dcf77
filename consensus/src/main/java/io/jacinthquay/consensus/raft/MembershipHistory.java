package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.Membership;
import java.util.TreeMap;

/** The memberships by the log index at which each came into force. */
final class MembershipHistory {
  private final TreeMap<Long, Membership> byIndex = new TreeMap<>();

  MembershipHistory(SnapshotMeta snapshot) {
    reset(snapshot);
  }

  void add(Entry entry) {
    if (entry.payload() instanceof Payload.Reconfiguration change) {
      byIndex.put(entry.index(), change.membership());
    }
  }

  Membership latest() {
    return byIndex.lastEntry().getValue();
  }

  long latestIndex() {
    return byIndex.lastKey();
  }

  void truncateFrom(long index) {
    byIndex.tailMap(index, true).clear();
  }

  void compactTo(long index) {
    byIndex.headMap(byIndex.floorKey(index), false).clear();
  }

  void reset(SnapshotMeta snapshot) {
    byIndex.clear();
    byIndex.put(snapshot.index(), snapshot.membership());
  }
}
