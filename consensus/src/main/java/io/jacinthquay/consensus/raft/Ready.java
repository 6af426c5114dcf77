package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.ReplicaId;
import java.util.List;
import java.util.Optional;

/**
 * What the driver has to do. Parts are handled in this order: {@code immediate} messages may go at
 * once; the storage work is queued and done in order, synced, and then reported with {@link
 * RaftNode#persisted}; {@code afterPersist} messages go only once all storage work queued up to
 * then is durable, also if this output brings none.
 *
 * @param sequence the number to report, 0 if there is nothing to sync
 * @param hardState term and vote to store, if changed
 * @param entries entries to store; they replace stored ones from the first one's index on
 * @param snapshotWrites pieces of an incoming snapshot to store; the last one is reported with
 *     {@link RaftNode#snapshotInstalled}
 * @param afterPersist messages that wait for storage
 * @param immediate messages that don't
 * @param snapshotReads pieces of the own snapshot to read and send
 * @param restore the installed snapshot with which to replace the state machine's state
 * @param committed entries to apply, all durable here
 * @param reads answers to reads
 */
public record Ready(
    long sequence,
    Optional<HardState> hardState,
    List<Entry> entries,
    List<SnapshotWrite> snapshotWrites,
    List<Message> afterPersist,
    List<Message> immediate,
    List<SnapshotRead> snapshotReads,
    Optional<SnapshotMeta> restore,
    List<Entry> committed,
    List<ReadState> reads) {

  /**
   * A piece of an incoming snapshot.
   *
   * @param meta what the snapshot covers
   * @param offset the position of the first byte; 0 starts a new file
   * @param data the bytes
   * @param last whether to check, sync and install the file
   */
  public record SnapshotWrite(SnapshotMeta meta, long offset, byte[] data, boolean last) {}

  /**
   * A piece of the own snapshot that a peer needs.
   *
   * @param to the peer
   * @param term the term to send it in
   * @param meta which snapshot
   * @param offset the position of the first byte
   */
  public record SnapshotRead(ReplicaId to, long term, SnapshotMeta meta, long offset) {}

  /**
   * The answer to a read.
   *
   * @param requestId the number that {@link RaftNode#readIndex} gave
   * @param index the index to wait for, empty if no leader confirmed it
   */
  public record ReadState(long requestId, Optional<Long> index) {}

  /**
   * Tells whether there is work for the storage queue.
   *
   * @return true if something is to be stored or waits for storage
   */
  public boolean needsStorage() {
    return sequence != 0
        || !snapshotWrites.isEmpty()
        || !afterPersist.isEmpty()
        || !snapshotReads.isEmpty();
  }
}
