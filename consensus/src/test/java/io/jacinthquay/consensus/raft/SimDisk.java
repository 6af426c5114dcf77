package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.ReplicaId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** What of one data folder is durable. */
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

  void store(HardState value) {
    hardState = value;
  }

  void forgetVote() {
    hardState = new HardState(hardState.term(), Optional.empty());
  }

  void append(List<Entry> added) {
    for (Entry entry : added) {
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

  /** Stores a piece and tells whether it installed a snapshot. */
  boolean receive(Ready.SnapshotWrite write) {
    byte[] joined = new byte[(int) write.offset() + write.data().length];
    System.arraycopy(incoming, 0, joined, 0, (int) write.offset());
    System.arraycopy(write.data(), 0, joined, (int) write.offset(), write.data().length);
    incoming = joined;
    if (write.last()) {
      saveSnapshot(write.meta(), joined);
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

  Recovered recovered() {
    boolean covered = entries.isEmpty() || entries.lastKey() < latest.index();
    return new Recovered(hardState, latest, covered ? List.of() : List.copyOf(entries.values()));
  }

  /** Lists every membership that may still come into force from an index on. */
  List<Membership> membershipsFrom(long index) {
    List<Membership> found = new ArrayList<>();
    if (latest.index() >= index) {
      found.add(latest.membership());
    }
    for (Entry entry : entries.tailMap(index, true).values()) {
      if (entry.payload() instanceof Payload.Reconfiguration change) {
        found.add(change.membership());
      }
    }
    return found;
  }
}
