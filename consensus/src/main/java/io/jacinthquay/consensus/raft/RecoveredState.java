package io.jacinthquay.consensus.raft;

import java.util.List;
import java.util.Objects;

/**
 * The durable state that a replica reads from its disk at start.
 *
 * @param hardState the term and vote
 * @param snapshot the latest snapshot, or {@link SnapshotMeta#NONE}
 * @param entries the log entries without gaps; they may overlap the snapshot, but must not start
 *     after the index that follows it
 */
public record RecoveredState(HardState hardState, SnapshotMeta snapshot, List<Entry> entries) {
  /** The state of an empty data folder. */
  public static final RecoveredState EMPTY =
      new RecoveredState(HardState.INITIAL, SnapshotMeta.NONE, List.of());

  /**
   * Checks that there is no gap between the snapshot and the log.
   *
   * @throws IllegalArgumentException if there is a gap
   */
  public RecoveredState {
    Objects.requireNonNull(hardState, "hardState");
    Objects.requireNonNull(snapshot, "snapshot");
    entries = List.copyOf(entries);
    if (!entries.isEmpty() && entries.get(0).index() > snapshot.index() + 1) {
      throw new IllegalArgumentException("gap between snapshot and log");
    }
  }
}
