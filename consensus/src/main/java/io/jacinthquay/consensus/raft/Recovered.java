package io.jacinthquay.consensus.raft;

import java.util.List;
import java.util.Objects;

/**
 * What a replica finds on its disk at start.
 *
 * @param hardState term and vote
 * @param snapshot the latest snapshot, or {@link SnapshotMeta#NONE}
 * @param entries the log without gaps; it may begin before the snapshot ends, but not after
 */
public record Recovered(HardState hardState, SnapshotMeta snapshot, List<Entry> entries) {
  /** An empty data folder. */
  public static final Recovered EMPTY =
      new Recovered(HardState.INITIAL, SnapshotMeta.NONE, List.of());

  /**
   * Checks that log and snapshot join.
   *
   * @throws IllegalArgumentException if there is a gap
   */
  public Recovered {
    Objects.requireNonNull(hardState, "hardState");
    Objects.requireNonNull(snapshot, "snapshot");
    entries = List.copyOf(entries);
    if (!entries.isEmpty() && entries.get(0).index() > snapshot.index() + 1) {
      throw new IllegalArgumentException("gap between snapshot and log");
    }
  }
}
