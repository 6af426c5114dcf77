package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.ReplicaId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The durable content of one data folder. */
final class SimDisk {
  private final ReplicaId replica;
  private final TreeMap<Long, Entry> entries = new TreeMap<>();
  private final Map<SnapshotMeta, byte[]> snapshots = new HashMap<>();
  private HardState hardState = HardState.INITIAL;
  private SnapshotMeta latest = SnapshotMeta.NONE;
  private byte[] incoming = new byte[0];

  SimDisk(ReplicaId replica) {
    this.replica = replica;
  }

  ReplicaId replica() {
    return replica;
  }

  void store(HardState newState) {
    hardState = newState;
  }

  void forgetVote() {
    hardState = new HardState(hardState.term(), Optional.empty());
  }

  void append(List<Entry> newEntries) {
    for (Entry entry : newEntries) {
      entries.tailMap(entry.index(), true).clear();
      entries.put(entry.index(), entry);
    }
  }

  void compactTo(long index) {
    entries.headMap(index, true).clear();
  }

  void saveSnapshot(SnapshotMeta meta, byte[] state) {
    snapshots.put(meta, state);
    latest = meta.index() > latest.index() ? meta : latest;
  }

  /** Stores a snapshot chunk and returns whether it completed a snapshot. */
  boolean receive(Ready.SnapshotWrite write) {
    byte[] received = new byte[(int) write.offset() + write.data().length];
    System.arraycopy(incoming, 0, received, 0, (int) write.offset());
    System.arraycopy(write.data(), 0, received, (int) write.offset(), write.data().length);
    incoming = received;
    if (write.last()) {
      saveSnapshot(write.meta(), received);
      entries.clear();
    }
    return write.last();
  }

  byte[] snapshot(SnapshotMeta meta) {
    return snapshots.get(meta);
  }

  SnapshotMeta latestSnapshot() {
    return latest;
  }

  RecoveredState recovered() {
    boolean covered = entries.isEmpty() || entries.lastKey() < latest.index();
    return new RecoveredState(
        hardState, latest, covered ? List.of() : List.copyOf(entries.values()));
  }

  /** Returns every stored membership from an index on, which may still come into force. */
  List<Membership> membershipsFrom(long index) {
    List<Membership> memberships = new ArrayList<>();
    if (latest.index() >= index) {
      memberships.add(latest.membership());
    }
    for (Entry entry : entries.tailMap(index, true).values()) {
      if (entry.payload() instanceof Payload.Reconfiguration change) {
        memberships.add(change.membership());
      }
    }
    return memberships;
  }
}
