package io.jacinthquay.consensus;

import io.jacinthquay.consensus.raft.Message;
import io.jacinthquay.consensus.raft.Ready;
import io.jacinthquay.consensus.raft.Ready.SnapshotRead;
import io.jacinthquay.consensus.raft.Ready.SnapshotWrite;
import io.jacinthquay.consensus.raft.SnapshotMeta;
import io.jacinthquay.consensus.storage.LogStorage;
import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/**
 * Performs storage work on its own thread. Work that is queued while the disk is busy is made
 * durable by one sync (group commit). After the first failure nothing more is written, reported or
 * sent.
 */
final class StorageWorker {
  /** Receives the results of the work. */
  interface Listener {
    void persisted(long sequence);

    void snapshotInstalled(SnapshotMeta meta);

    void snapshotRejected();

    void storageFailed(Throwable cause);
  }

  private interface Task {
    void run() throws IOException;
  }

  /** Longest wait for a task before the handler runs with an empty batch: 100 ms. */
  private static final long IDLE_NANOS = 100_000_000;

  private static final int SNAPSHOT_CHUNK_BYTES = 256 << 10;

  private final LogStorage storage;
  private final PeerTransport transport;
  private final Listener listener;
  private final Worker<Task> worker;
  private final List<Message> outgoing = new ArrayList<>();
  private long sequence;
  private boolean dirty;
  private boolean failed;

  StorageWorker(MemberId member, LogStorage storage, PeerTransport transport, Listener listener) {
    this.storage = storage;
    this.transport = transport;
    this.listener = listener;
    worker = new Worker<>("log-storage-" + member, IDLE_NANOS, this::handle, this::fail);
  }

  void start() {
    worker.start();
  }

  /** Ends the thread; returns whether it has ended. */
  boolean stop() {
    return worker.stop();
  }

  void add(Ready ready) {
    worker.add(() -> process(ready));
  }

  void compactTo(long index) {
    worker.add(() -> storage.compactTo(index));
  }

  private void handle(List<Task> batch) {
    if (failed || batch.isEmpty()) {
      return;
    }
    try {
      for (Task task : batch) {
        task.run();
      }
      flush();
    } catch (IOException e) {
      fail(e);
    }
  }

  private void fail(Throwable cause) {
    failed = true;
    outgoing.clear();
    listener.storageFailed(cause);
  }

  private void process(Ready ready) throws IOException {
    if (ready.hardState().isPresent()) {
      storage.saveHardState(ready.hardState().get());
    }
    for (SnapshotWrite write : ready.snapshotWrites()) {
      writeSnapshot(write);
    }
    if (!ready.entries().isEmpty()) {
      storage.append(ready.entries());
      dirty = true;
    }
    sequence = Math.max(sequence, ready.sequence());
    outgoing.addAll(ready.messagesAfterPersist());
    for (SnapshotRead read : ready.snapshotReads()) {
      readSnapshot(read);
    }
  }

  private void writeSnapshot(SnapshotWrite write) throws IOException {
    boolean intact = storage.receiveSnapshotChunk(write);
    if (!intact) {
      listener.snapshotRejected();
    } else if (write.last()) {
      listener.snapshotInstalled(write.meta());
    }
  }

  private void readSnapshot(SnapshotRead read) throws IOException {
    try {
      LogStorage.Chunk chunk =
          storage.readSnapshotChunk(read.meta(), read.offset(), SNAPSHOT_CHUNK_BYTES);
      outgoing.add(
          new Message.SnapshotChunk(
              storage.self(),
              read.to(),
              read.term(),
              read.meta(),
              read.offset(),
              chunk.data(),
              chunk.last()));
    } catch (NoSuchFileException e) {
      // A newer snapshot replaced it; the peer requests that one next.
      return;
    }
  }

  private void flush() throws IOException {
    if (dirty) {
      storage.sync();
      dirty = false;
    }
    outgoing.forEach(transport::send);
    outgoing.clear();
    OptionalLong persisted = sequence > 0 ? OptionalLong.of(sequence) : OptionalLong.empty();
    sequence = 0;
    persisted.ifPresent(listener::persisted);
  }
}
