package io.jacinthquay.consensus.raft;

import io.jacinthquay.consensus.raft.Ready.ReadState;
import io.jacinthquay.consensus.raft.Ready.SnapshotRead;
import io.jacinthquay.consensus.raft.Ready.SnapshotWrite;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Collects the output between two calls of {@link RaftNode#drain}. */
final class Outbox {
  /** Storage work that is not yet reported as durable. */
  record Pending(long sequence, long lastIndex, long lastTerm, long term, long sinceNanos) {}

  private final ArrayDeque<Pending> pending = new ArrayDeque<>();
  private List<Message> afterPersist = new ArrayList<>();
  private List<Message> immediate = new ArrayList<>();
  private List<SnapshotWrite> snapshotWrites = new ArrayList<>();
  private List<SnapshotRead> snapshotReads = new ArrayList<>();
  private List<ReadState> reads = new ArrayList<>();
  private List<ElectionEvent> electionEvents = new ArrayList<>();
  private Optional<SnapshotMeta> restore = Optional.empty();
  private boolean hardStateChanged;
  private long sequence;

  void markHardStateChanged() {
    hardStateChanged = true;
  }

  void send(Message message) {
    immediate.add(message);
  }

  void sendAfterPersist(Message message) {
    afterPersist.add(message);
  }

  void addSnapshotWrite(SnapshotWrite write) {
    snapshotWrites.add(write);
  }

  void addSnapshotRead(SnapshotRead read) {
    snapshotReads.add(read);
  }

  void addReadResult(long requestId, Optional<Long> index) {
    reads.add(new ReadState(requestId, index));
  }

  void addElectionEvent(ElectionEvent event) {
    electionEvents.add(event);
  }

  void requestRestore(SnapshotMeta meta) {
    restore = Optional.of(meta);
  }

  /** Drops the storage work, since the storage has failed. */
  void dropStorageWork() {
    hardStateChanged = false;
    afterPersist.clear();
    snapshotWrites.clear();
    snapshotReads.clear();
    pending.clear();
  }

  /** Removes and returns the storage work up to a sequence number, which is durable now. */
  List<Pending> takePersisted(long lastSequence) {
    List<Pending> durable = new ArrayList<>();
    while (!pending.isEmpty() && pending.peekFirst().sequence() <= lastSequence) {
      durable.add(pending.removeFirst());
    }
    return durable;
  }

  /** Returns whether some storage work has not become durable within a time. */
  boolean isStorageStalled(long now, long limitNanos) {
    return !pending.isEmpty() && now - pending.peekFirst().sinceNanos() >= limitNanos;
  }

  /** Returns the collected output and starts an empty one. */
  Ready drain(RaftState state) {
    List<Entry> entries = takeEntries(state);
    Optional<HardState> hardState =
        hardStateChanged
            ? Optional.of(new HardState(state.term, state.votedFor))
            : Optional.empty();
    long storageSequence = 0;
    if (hardStateChanged || !entries.isEmpty()) {
      storageSequence = ++sequence;
      long lastIndex = state.log.lastIndex();
      pending.addLast(
          new Pending(storageSequence, lastIndex, state.log.lastTerm(), state.term, state.now));
    }
    Ready ready =
        new Ready(
            storageSequence,
            hardState,
            entries,
            snapshotWrites,
            afterPersist,
            immediate,
            snapshotReads,
            restore,
            takeCommitted(state),
            reads,
            electionEvents);
    clear();
    return ready;
  }

  private static List<Entry> takeEntries(RaftState state) {
    if (state.mode == RaftState.Mode.FAILED) {
      return List.of();
    }
    long from = Math.max(state.storedIndex + 1, state.log.firstIndex());
    List<Entry> entries = state.log.slice(from, state.log.lastIndex(), Integer.MAX_VALUE);
    state.storedIndex = state.log.lastIndex();
    return entries;
  }

  private static List<Entry> takeCommitted(RaftState state) {
    long lastDeliverable = Math.min(state.commitIndex, state.stableIndex);
    List<Entry> committed =
        state.log.slice(state.deliveredIndex + 1, lastDeliverable, Integer.MAX_VALUE);
    state.deliveredIndex = Math.max(state.deliveredIndex, lastDeliverable);
    return committed;
  }

  private void clear() {
    hardStateChanged = false;
    afterPersist = new ArrayList<>();
    immediate = new ArrayList<>();
    snapshotWrites = new ArrayList<>();
    snapshotReads = new ArrayList<>();
    reads = new ArrayList<>();
    electionEvents = new ArrayList<>();
    restore = Optional.empty();
  }
}
