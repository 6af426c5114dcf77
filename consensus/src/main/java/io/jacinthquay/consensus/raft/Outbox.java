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
  /** Storage work that is not reported as durable yet. */
  record Pending(long sequence, long lastIndex, long lastTerm, long term) {}

  private final ArrayDeque<Pending> pending = new ArrayDeque<>();
  private List<Message> afterPersist = new ArrayList<>();
  private List<Message> immediate = new ArrayList<>();
  private List<SnapshotWrite> snapshotWrites = new ArrayList<>();
  private List<SnapshotRead> snapshotReads = new ArrayList<>();
  private List<ReadState> reads = new ArrayList<>();
  private Optional<SnapshotMeta> restore = Optional.empty();
  private boolean hardStateChanged;
  private long sequence;

  void hardStateChanged() {
    hardStateChanged = true;
  }

  void send(Message message) {
    immediate.add(message);
  }

  void sendAfterPersist(Message message) {
    afterPersist.add(message);
  }

  void write(SnapshotWrite write) {
    snapshotWrites.add(write);
  }

  void read(SnapshotRead read) {
    snapshotReads.add(read);
  }

  void answer(long requestId, Optional<Long> index) {
    reads.add(new ReadState(requestId, index));
  }

  void restore(SnapshotMeta meta) {
    restore = Optional.of(meta);
  }

  /** Drops what a failed storage can no longer carry out. */
  void dropStorageWork() {
    hardStateChanged = false;
    afterPersist.clear();
    snapshotWrites.clear();
    snapshotReads.clear();
    pending.clear();
  }

  /** Takes all work that is durable up to a sequence number. */
  List<Pending> persisted(long upTo) {
    List<Pending> done = new ArrayList<>();
    while (!pending.isEmpty() && pending.peekFirst().sequence() <= upTo) {
      done.add(pending.removeFirst());
    }
    return done;
  }

  Ready drain(RaftState state) {
    List<Entry> entries = takeEntries(state);
    Optional<HardState> hardState =
        hardStateChanged
            ? Optional.of(new HardState(state.term, state.votedFor))
            : Optional.empty();
    long number = 0;
    if (hardStateChanged || !entries.isEmpty()) {
      number = ++sequence;
      long last = state.log.lastIndex();
      pending.addLast(new Pending(number, last, state.log.lastTerm(), state.term));
    }
    Ready ready =
        new Ready(
            number,
            hardState,
            entries,
            snapshotWrites,
            afterPersist,
            immediate,
            snapshotReads,
            restore,
            takeCommitted(state),
            reads);
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
    long to = Math.min(state.commitIndex, state.stableIndex);
    List<Entry> committed = state.log.slice(state.deliveredIndex + 1, to, Integer.MAX_VALUE);
    state.deliveredIndex = Math.max(state.deliveredIndex, to);
    return committed;
  }

  private void clear() {
    hardStateChanged = false;
    afterPersist = new ArrayList<>();
    immediate = new ArrayList<>();
    snapshotWrites = new ArrayList<>();
    snapshotReads = new ArrayList<>();
    reads = new ArrayList<>();
    restore = Optional.empty();
  }
}
