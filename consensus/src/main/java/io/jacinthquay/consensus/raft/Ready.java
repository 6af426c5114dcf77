package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.ReplicaId;
import java.util.List;
import java.util.Optional;

/**
 * The work for the driver of a {@link RaftNode}. The {@code immediateMessages} messages may be sent
 * at once. The storage work is queued, done in order, synced and then reported with {@link
 * RaftNode#onPersisted}. The {@code messagesAfterPersist} messages are sent only once all storage
 * work queued so far is durable, even if this output contains none.
 *
 * @param sequence the sequence number to report, 0 if there is nothing to sync
 * @param hardState the term and vote to store, if changed
 * @param entries entries to store; they replace all stored entries from the index of the first one
 *     on
 * @param snapshotWrites chunks of an incoming snapshot to store; the last one is reported with
 *     {@link RaftNode#onSnapshotInstalled}, or {@link RaftNode#onSnapshotDamaged} if it is damaged
 * @param messagesAfterPersist messages to send after the storage work is durable
 * @param immediateMessages messages to send at once
 * @param snapshotReads chunks of this replica's snapshot to read and send
 * @param restore the installed snapshot that replaces the state of the state machine, if any
 * @param committed committed entries to apply, all durable on this replica
 * @param reads the results of reads
 * @param electionEvents what happened in elections, for logs and metrics
 */
public record Ready(
    long sequence,
    Optional<HardState> hardState,
    List<Entry> entries,
    List<SnapshotWrite> snapshotWrites,
    List<Message> messagesAfterPersist,
    List<Message> immediateMessages,
    List<SnapshotRead> snapshotReads,
    Optional<SnapshotMeta> restore,
    List<Entry> committed,
    List<ReadState> reads,
    List<ElectionEvent> electionEvents) {

  /**
   * A chunk of an incoming snapshot.
   *
   * @param meta the metadata of the snapshot
   * @param offset the position of the first byte in the snapshot; 0 starts a new file
   * @param data the bytes
   * @param last whether to check, sync and install the file
   */
  public record SnapshotWrite(SnapshotMeta meta, long offset, byte[] data, boolean last) {}

  /**
   * A chunk of this replica's snapshot that a peer needs.
   *
   * @param to the peer
   * @param term the term to send it in
   * @param meta the metadata of the snapshot
   * @param offset the position of the first byte in the snapshot
   */
  public record SnapshotRead(ReplicaId to, long term, SnapshotMeta meta, long offset) {}

  /**
   * The result of a read.
   *
   * @param requestId the number that {@link RaftNode#readIndex} returned
   * @param index the index to wait for, or empty if no leader confirmed it
   */
  public record ReadState(long requestId, Optional<Long> index) {}

  /**
   * Returns whether there is work for the storage queue.
   *
   * @return true if something has to be stored or read, or waits for storage
   */
  public boolean needsStorage() {
    return sequence != 0
        || !snapshotWrites.isEmpty()
        || !messagesAfterPersist.isEmpty()
        || !snapshotReads.isEmpty();
  }
}
