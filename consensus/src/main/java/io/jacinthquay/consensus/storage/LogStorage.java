package io.jacinthquay.consensus.storage;

import io.jacinthquay.consensus.ReplicaId;
import io.jacinthquay.consensus.SnapshotWriter;
import io.jacinthquay.consensus.raft.Entry;
import io.jacinthquay.consensus.raft.HardState;
import io.jacinthquay.consensus.raft.Ready.SnapshotWrite;
import io.jacinthquay.consensus.raft.RecoveredState;
import io.jacinthquay.consensus.raft.SnapshotMeta;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;

/**
 * Durable storage of one replica. After any {@link IOException} the storage must be closed and not
 * used again: what was written since the last sync is unknown until the folder is opened again.
 *
 * <p>The log and the hard state are used by one thread. Other threads may save and read snapshots.
 */
public interface LogStorage extends AutoCloseable {
  /**
   * Returns the replica that the folder belongs to.
   *
   * @return the replica
   */
  ReplicaId self();

  /**
   * Returns what the folder held when it was opened, and releases it. May be called once.
   *
   * @return term, vote, snapshot and log entries
   * @throws NullPointerException if called again
   */
  RecoveredState takeRecovered();

  /**
   * Stores term and vote; durable on return.
   *
   * @param hardState term and vote
   * @throws IOException if the disk fails
   */
  void saveHardState(HardState hardState) throws IOException;

  /**
   * Appends entries, which are durable after the next {@link #sync}. They replace all stored
   * entries from the index of the first one on.
   *
   * @param entries entries with consecutive indexes
   * @throws IOException if the disk fails
   */
  void append(List<Entry> entries) throws IOException;

  /**
   * Makes everything appended so far durable.
   *
   * @throws IOException if the disk fails
   */
  void sync() throws IOException;

  /**
   * Deletes log files that hold no entry above an index.
   *
   * @param index the highest index that is no longer needed
   * @throws IOException if the disk fails
   */
  void compactTo(long index) throws IOException;

  /**
   * Stores a snapshot of this replica's state; durable on return.
   *
   * @param meta the index, term and membership that the snapshot covers
   * @param writer writes the state
   * @throws IOException if the disk fails
   */
  void saveSnapshot(SnapshotMeta meta, SnapshotWriter writer) throws IOException;

  /**
   * Stores a chunk of a snapshot from the leader. After the last chunk the snapshot is verified and
   * installed: on return it is durable and the log begins after it.
   *
   * @param write the chunk
   * @return false if the snapshot was complete but damaged, and was deleted
   * @throws IOException if the disk fails
   */
  boolean receiveSnapshotChunk(SnapshotWrite write) throws IOException;

  /**
   * Reads a chunk of a stored snapshot in the format that is sent to peers.
   *
   * @param meta the snapshot
   * @param offset position of the first byte in the snapshot file
   * @param maxBytes the maximum number of bytes to read
   * @return the chunk
   * @throws IOException if the snapshot no longer exists or the disk fails
   */
  Chunk readSnapshotChunk(SnapshotMeta meta, long offset, int maxBytes) throws IOException;

  /**
   * Opens the state machine's state in a stored snapshot.
   *
   * @param meta the snapshot
   * @return the bytes that the snapshot writer wrote
   * @throws IOException if the snapshot no longer exists or the disk fails
   */
  InputStream openSnapshot(SnapshotMeta meta) throws IOException;

  @Override
  void close() throws IOException;

  /**
   * A chunk of a snapshot.
   *
   * @param data the bytes
   * @param last whether this is the last chunk
   */
  record Chunk(byte[] data, boolean last) {}
}
