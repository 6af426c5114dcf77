package io.jacinthquay.consensus.storage;

import io.jacinthquay.consensus.ReplicaId;
import io.jacinthquay.consensus.SnapshotWriter;
import io.jacinthquay.consensus.raft.Entry;
import io.jacinthquay.consensus.raft.HardState;
import io.jacinthquay.consensus.raft.Ready.SnapshotWrite;
import io.jacinthquay.consensus.raft.Recovered;
import io.jacinthquay.consensus.raft.SnapshotMeta;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;

/**
 * The disk of one replica. After any {@link IOException} the storage must not be used again but
 * closed: what was written since the last sync is unknown until the folder is opened afresh.
 *
 * <p>Log and hard state belong to one thread. Snapshots may be saved and read by others.
 */
public interface LogStorage extends AutoCloseable {
  /**
   * Names the replica that the folder belongs to.
   *
   * @return the replica
   */
  ReplicaId self();

  /**
   * Gives what the folder held when it was opened. Works once, as it is not kept.
   *
   * @return term, vote, snapshot and log
   */
  Recovered takeRecovered();

  /**
   * Stores term and vote; durable on return.
   *
   * @param hardState term and vote
   * @throws IOException if the disk fails
   */
  void saveHardState(HardState hardState) throws IOException;

  /**
   * Writes entries; durable after the next {@link #sync}. Stored entries from the first one's index
   * on are replaced.
   *
   * @param entries entries without gaps
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
   * Drops log files that hold no entry above an index.
   *
   * @param index the highest index that is no longer needed
   * @throws IOException if the disk fails
   */
  void compactTo(long index) throws IOException;

  /**
   * Stores a snapshot of the own state; durable on return.
   *
   * @param meta what it covers
   * @param writer writes the state
   * @throws IOException if the disk fails
   */
  void saveSnapshot(SnapshotMeta meta, SnapshotWriter writer) throws IOException;

  /**
   * Stores a piece of a snapshot from the leader. The last piece checks and installs it: on return
   * the snapshot is durable and the log begins behind it.
   *
   * @param write the piece
   * @return false if the snapshot was complete but damaged, and was dropped
   * @throws IOException if the disk fails
   */
  boolean receiveSnapshot(SnapshotWrite write) throws IOException;

  /**
   * Reads a piece of a stored snapshot in the form in which it travels.
   *
   * @param meta which snapshot
   * @param offset position of the first byte
   * @param maxBytes most bytes to read
   * @return the piece
   * @throws IOException if the snapshot is gone or the disk fails
   */
  Piece readSnapshot(SnapshotMeta meta, long offset, int maxBytes) throws IOException;

  /**
   * Opens the state in a stored snapshot.
   *
   * @param meta which snapshot
   * @return the bytes that the snapshot writer wrote
   * @throws IOException if the snapshot is gone or the disk fails
   */
  InputStream openSnapshot(SnapshotMeta meta) throws IOException;

  @Override
  void close() throws IOException;

  /**
   * A piece of a snapshot.
   *
   * @param data the bytes
   * @param last whether the snapshot ends with them
   */
  record Piece(byte[] data, boolean last) {}
}
