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
import java.util.function.Consumer;

/** Applies committed entries to the state machine on a thread of its own and takes snapshots. */
final class Applier {
  /** Takes the captured state for writing elsewhere. */
  interface SnapshotSink {
    void accept(SnapshotMeta meta, SnapshotWriter writer);
  }

  private record WaitingRead(long index, Answer<Long> answer) {}

  private static final long IDLE_NANOS = 100_000_000;
  private static final long SNAPSHOT_BYTES = 32 << 20;

  private final StateMachine machine;
  private final LogStorage storage;
  private final PendingCommands pending;
  private final SnapshotSink snapshots;
  private final Consumer<Throwable> onFailure;
  private final int snapshotEvery;
  private final Worker<Runnable> worker;
  private final PriorityQueue<WaitingRead> waiting =
      new PriorityQueue<>(Comparator.comparingLong(WaitingRead::index));
  private SnapshotMeta applied;
  private long lastSnapshot;
  private long bytesSinceSnapshot;
  private boolean failed;
  private volatile long appliedIndex;

  Applier(
      LogSettings settings,
      LogStorage storage,
      PendingCommands pending,
      SnapshotSink snapshots,
      Consumer<Throwable> onFailure) {
    machine = settings.machine();
    snapshotEvery = settings.options().snapshotEveryEntries();
    this.storage = storage;
    this.pending = pending;
    this.snapshots = snapshots;
    this.onFailure = onFailure;
    worker = new Worker<>("log-apply-" + settings.member(), IDLE_NANOS, this::handle);
  }

  /** Starts from the snapshot that the storage holds. */
  void start(SnapshotMeta recovered) throws IOException {
    applied = recovered;
    if (recovered.index() > 0) {
      load(recovered);
    }
    worker.start();
  }

  void stop() {
    worker.stop();
  }

  long appliedIndex() {
    return appliedIndex;
  }

  void apply(List<Entry> entries) {
    worker.add(() -> entries.forEach(this::apply));
  }

  void restore(SnapshotMeta meta) {
    worker.add(
        () -> {
          try {
            load(meta);
          } catch (IOException e) {
            throw new IllegalStateException("snapshot " + meta.index() + " can't be loaded", e);
          }
        });
  }

  /** Answers a read once an index is applied. */
  void whenApplied(long index, Answer<Long> answer) {
    worker.add(() -> waiting.add(new WaitingRead(index, answer)));
  }

  private void handle(List<Runnable> batch) {
    if (failed) {
      return;
    }
    try {
      batch.forEach(Runnable::run);
      answerReads();
      takeSnapshotIfDue();
    } catch (RuntimeException e) {
      failed = true;
      onFailure.accept(e);
    }
  }

  private void apply(Entry entry) {
    byte[] result = null;
    Membership membership = applied.membership();
    if (entry.payload() instanceof Payload.Command command) {
      result = machine.apply(entry.index(), command.bytes());
    } else if (entry.payload() instanceof Payload.Reconfiguration change) {
      membership = change.membership();
    }
    applied = new SnapshotMeta(entry.index(), entry.term(), membership);
    appliedIndex = entry.index();
    bytesSinceSnapshot += entry.size();
    pending.applied(entry, result);
  }

  private void load(SnapshotMeta meta) throws IOException {
    try (InputStream in = storage.openSnapshot(meta)) {
      machine.restore(meta.index(), in);
    }
    applied = meta;
    appliedIndex = meta.index();
    lastSnapshot = meta.index();
    pending.covered(meta.index());
  }

  private void answerReads() {
    List<WaitingRead> ready = new ArrayList<>();
    while (!waiting.isEmpty() && waiting.peek().index() <= appliedIndex) {
      ready.add(waiting.poll());
    }
    ready.forEach(read -> read.answer().succeed(read.index(), null));
  }

  private void takeSnapshotIfDue() {
    boolean due =
        appliedIndex - lastSnapshot >= snapshotEvery || bytesSinceSnapshot >= SNAPSHOT_BYTES;
    if (due) {
      lastSnapshot = appliedIndex;
      bytesSinceSnapshot = 0;
      snapshots.accept(applied, machine.snapshot());
    }
  }
}
