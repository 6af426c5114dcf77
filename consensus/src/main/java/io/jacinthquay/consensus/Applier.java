package io.jacinthquay.consensus;

import io.jacinthquay.consensus.raft.Entry;
import io.jacinthquay.consensus.raft.Payload;
import io.jacinthquay.consensus.raft.SnapshotMeta;
import io.jacinthquay.consensus.storage.LogStorage;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/** Applies committed entries to the state machine on its own thread and takes snapshots. */
final class Applier {
  /** Receives a captured state, which is written on another thread. */
  interface SnapshotSink {
    void accept(SnapshotMeta meta, SnapshotWriter writer);
  }

  /** Receives the first failure, after which nothing is applied. */
  interface FailureListener {
    /** The state machine failed: its state is undefined. */
    void stateMachineFailed(Throwable cause);

    /** A snapshot can't be loaded; the state machine must load one before it goes on. */
    void loadFailed(IOException cause);
  }

  private record WaitingRead(long index, PendingResult<Long> result) {}

  /** Longest wait for a task before the handler runs with an empty batch: 100 ms. */
  private static final long IDLE_NANOS = 100_000_000;

  /** Size of the entries since the last snapshot that makes a new snapshot due: 32 MiB. */
  private static final long SNAPSHOT_THRESHOLD_BYTES = 32 << 20;

  private final StateMachine machine;
  private final LogStorage storage;
  private final PendingCommands pending;
  private final SnapshotSink snapshotSink;
  private final FailureListener failureListener;
  private final int snapshotEveryEntries;
  private final Worker<Runnable> worker;
  private final PriorityQueue<WaitingRead> waitingReads =
      new PriorityQueue<>(Comparator.comparingLong(WaitingRead::index));
  private SnapshotMeta lastApplied;
  private long lastSnapshotIndex;
  private long bytesSinceSnapshot;
  private boolean failed;
  private volatile long appliedIndex;

  Applier(
      LogSettings settings,
      LogStorage storage,
      PendingCommands pending,
      SnapshotSink snapshotSink,
      FailureListener failureListener) {
    machine = settings.machine();
    snapshotEveryEntries = settings.options().snapshotEveryEntries();
    this.storage = storage;
    this.pending = pending;
    this.snapshotSink = snapshotSink;
    this.failureListener = failureListener;
    worker = new Worker<>("log-apply-" + settings.member(), IDLE_NANOS, this::handle, this::fail);
  }

  /**
   * Loads the recovered snapshot unless the state machine is ahead of it, and starts the thread.
   *
   * @param recovered the recovered snapshot
   * @param applied the last entry that the state machine has applied
   * @throws IOException if the snapshot can't be loaded
   */
  void start(SnapshotMeta recovered, SnapshotMeta applied) throws IOException {
    lastApplied = applied;
    appliedIndex = applied.index();
    lastSnapshotIndex = recovered.index();
    if (recovered.index() > applied.index()) {
      lastApplied = SnapshotMeta.NONE;
      load(recovered);
    }
    worker.start();
  }

  /** Ends the thread and fails the waiting reads; returns whether the thread has ended. */
  boolean stop() {
    if (!worker.stop()) {
      return false;
    }
    LogFailure failure = LogFailure.of(LogError.STOPPED, "the replica stopped applying the log");
    waitingReads.forEach(read -> read.result().fail(failure));
    waitingReads.clear();
    return true;
  }

  /**
   * Returns the last entry that the state machine has applied, or {@link SnapshotMeta#NONE} if it
   * must load a snapshot first. Valid once the thread has ended.
   */
  SnapshotMeta lastApplied() {
    return lastApplied;
  }

  long appliedIndex() {
    return appliedIndex;
  }

  void apply(List<Entry> entries) {
    worker.add(() -> entries.forEach(this::apply));
  }

  void restore(SnapshotMeta meta) {
    worker.add(() -> tryLoad(meta));
  }

  private void tryLoad(SnapshotMeta meta) {
    if (meta.index() <= appliedIndex) {
      return;
    }
    try {
      load(meta);
    } catch (IOException e) {
      failed = true;
      lastApplied = SnapshotMeta.NONE;
      failureListener.loadFailed(e);
    }
  }

  /** Completes a read once an index is applied. */
  void whenApplied(long index, PendingResult<Long> result) {
    worker.add(() -> waitingReads.add(new WaitingRead(index, result)));
  }

  private void handle(List<Runnable> batch) {
    for (Runnable task : batch) {
      if (!failed) {
        task.run();
      }
    }
    if (!failed) {
      completeReads();
      takeSnapshotIfDue();
    }
  }

  private void fail(Throwable cause) {
    failed = true;
    failureListener.stateMachineFailed(cause);
  }

  private void apply(Entry entry) {
    if (entry.index() <= appliedIndex) {
      return;
    }
    byte[] result = null;
    Membership membership = lastApplied.membership();
    if (entry.payload() instanceof Payload.Command command) {
      result = machine.apply(entry.index(), command.bytes());
    } else if (entry.payload() instanceof Payload.Reconfiguration change) {
      membership = change.membership();
    }
    lastApplied = new SnapshotMeta(entry.index(), entry.term(), membership);
    appliedIndex = entry.index();
    bytesSinceSnapshot += entry.size();
    pending.complete(entry, result);
  }

  private void load(SnapshotMeta meta) throws IOException {
    try (InputStream in = storage.openSnapshot(meta)) {
      machine.restore(meta.index(), in);
    }
    lastApplied = meta;
    appliedIndex = meta.index();
    lastSnapshotIndex = meta.index();
    pending.failUpTo(meta.index());
  }

  private void completeReads() {
    List<WaitingRead> ready = new ArrayList<>();
    while (!waitingReads.isEmpty() && waitingReads.peek().index() <= appliedIndex) {
      ready.add(waitingReads.poll());
    }
    ready.forEach(read -> read.result().succeed(read.index(), null));
  }

  private void takeSnapshotIfDue() {
    boolean due =
        appliedIndex - lastSnapshotIndex >= snapshotEveryEntries
            || bytesSinceSnapshot >= SNAPSHOT_THRESHOLD_BYTES;
    if (due) {
      lastSnapshotIndex = appliedIndex;
      bytesSinceSnapshot = 0;
      snapshotSink.accept(lastApplied, machine.snapshot());
    }
  }
}
