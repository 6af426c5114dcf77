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
 * Carries out storage work on a thread of its own. Work that queues up while the disk is busy is
 * made durable by one sync, which is the group commit. After the first failure nothing is written,
 * reported or sent any more.
 */
final class StorageWorker {
  /** Hears what became of the work. */
  interface Reports {
    void persisted(long sequence);

    void snapshotInstalled(SnapshotMeta meta);

    void snapshotRefused();

    void failed(IOException cause);
  }

  private interface Task {
    void run() throws IOException;
  }

  private static final long IDLE_NANOS = 100_000_000;
  private static final int SNAPSHOT_PIECE_BYTES = 256 << 10;

  private final LogStorage storage;
  private final PeerTransport transport;
  private final Reports reports;
  private final Worker<Task> worker;
  private final List<Message> outgoing = new ArrayList<>();
  private long sequence;
  private boolean dirty;
  private boolean failed;

  StorageWorker(MemberId member, LogStorage storage, PeerTransport transport, Reports reports) {
    this.storage = storage;
    this.transport = transport;
    this.reports = reports;
    worker = new Worker<>("log-storage-" + member, IDLE_NANOS, this::handle);
  }

  void start() {
    worker.start();
  }

  void stop() {
    worker.stop();
  }

  void add(Ready ready) {
    worker.add(() -> carryOut(ready));
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
      failed = true;
      outgoing.clear();
      reports.failed(e);
    }
  }

  private void carryOut(Ready ready) throws IOException {
    if (ready.hardState().isPresent()) {
      storage.saveHardState(ready.hardState().get());
    }
    for (SnapshotWrite write : ready.snapshotWrites()) {
      write(write);
    }
    if (!ready.entries().isEmpty()) {
      storage.append(ready.entries());
      dirty = true;
    }
    sequence = Math.max(sequence, ready.sequence());
    outgoing.addAll(ready.afterPersist());
    for (SnapshotRead read : ready.snapshotReads()) {
      read(read);
    }
  }

  private void write(SnapshotWrite write) throws IOException {
    boolean intact = storage.receiveSnapshotChunk(write);
    if (!intact) {
      reports.snapshotRefused();
    } else if (write.last()) {
      reports.snapshotInstalled(write.meta());
    }
  }

  private void read(SnapshotRead read) throws IOException {
    try {
      LogStorage.Chunk piece =
          storage.readSnapshotChunk(read.meta(), read.offset(), SNAPSHOT_PIECE_BYTES);
      outgoing.add(
          new Message.SnapshotChunk(
              storage.self(),
              read.to(),
              read.term(),
              read.meta(),
              read.offset(),
              piece.data(),
              piece.last()));
    } catch (NoSuchFileException e) {
      // A newer snapshot took its place; the peer asks for that one next.
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
    OptionalLong done = sequence > 0 ? OptionalLong.of(sequence) : OptionalLong.empty();
    sequence = 0;
    done.ifPresent(reports::persisted);
  }
}
