package io.jacinthquay.consensus;

import io.jacinthquay.consensus.raft.Entry;
import io.jacinthquay.consensus.raft.HardState;
import io.jacinthquay.consensus.raft.Ready.SnapshotWrite;
import io.jacinthquay.consensus.raft.RecoveredState;
import io.jacinthquay.consensus.raft.SnapshotMeta;
import io.jacinthquay.consensus.storage.FileLogStorage;
import io.jacinthquay.consensus.storage.LogStorage;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;

/** A disk whose operations can be made to fail and to work again while its replica runs. */
final class FaultyDisk implements StorageOpener {
  /** An operation that can fail. */
  enum Operation {
    OPEN,
    HARD_STATE_BEFORE_WRITE,
    HARD_STATE_AFTER_WRITE,
    APPEND_BEFORE_WRITE,
    APPEND_HALF,
    SYNC_BEFORE,
    SYNC_AFTER,
    COMPACT,
    SAVE_SNAPSHOT,
    RECEIVE_SNAPSHOT,
    READ_SNAPSHOT
  }

  private volatile Set<Operation> failing = Set.of();
  private volatile int failures;
  private volatile long stallMillis;
  private volatile boolean unchecked;

  void fail(Set<Operation> operations) {
    failing = Set.copyOf(operations);
  }

  void repair() {
    failing = Set.of();
  }

  /** Makes failures unchecked exceptions, as a fault of the program would be. */
  void failUnchecked() {
    unchecked = true;
  }

  /** Makes each sync and each write of the hard state take this long. */
  void stall(long millis) {
    stallMillis = millis;
  }

  int failures() {
    return failures;
  }

  private synchronized void check(Operation operation) throws IOException {
    if (failing.contains(operation)) {
      failures++;
      if (unchecked) {
        throw new IllegalStateException("fault of the program: " + operation);
      }
      throw new IOException("No space left on device: " + operation);
    }
  }

  private void delay() throws IOException {
    try {
      Thread.sleep(stallMillis);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  @Override
  public LogStorage open(Path folder, MemberId member, long segmentBytes) {
    try {
      check(Operation.OPEN);
    } catch (IOException e) {
      throw new LogException(LogFailure.of(LogError.STORAGE_FAILED, e.getMessage()), e);
    }
    return new Storage(FileLogStorage.open(folder, member, segmentBytes));
  }

  private final class Storage implements LogStorage {
    private final LogStorage delegate;

    Storage(LogStorage delegate) {
      this.delegate = delegate;
    }

    @Override
    public ReplicaId self() {
      return delegate.self();
    }

    @Override
    public RecoveredState takeRecovered() {
      return delegate.takeRecovered();
    }

    @Override
    public void saveHardState(HardState hardState) throws IOException {
      check(Operation.HARD_STATE_BEFORE_WRITE);
      delay();
      delegate.saveHardState(hardState);
      check(Operation.HARD_STATE_AFTER_WRITE);
    }

    @Override
    public void append(List<Entry> entries) throws IOException {
      check(Operation.APPEND_BEFORE_WRITE);
      if (failing.contains(Operation.APPEND_HALF) && entries.size() > 1) {
        delegate.append(entries.subList(0, entries.size() / 2));
      }
      check(Operation.APPEND_HALF);
      delegate.append(entries);
    }

    @Override
    public void sync() throws IOException {
      check(Operation.SYNC_BEFORE);
      delay();
      delegate.sync();
      check(Operation.SYNC_AFTER);
    }

    @Override
    public void compactTo(long index) throws IOException {
      check(Operation.COMPACT);
      delegate.compactTo(index);
    }

    @Override
    public void saveSnapshot(SnapshotMeta meta, SnapshotWriter writer) throws IOException {
      check(Operation.SAVE_SNAPSHOT);
      delegate.saveSnapshot(meta, writer);
    }

    @Override
    public boolean receiveSnapshotChunk(SnapshotWrite write) throws IOException {
      check(Operation.RECEIVE_SNAPSHOT);
      return delegate.receiveSnapshotChunk(write);
    }

    @Override
    public Chunk readSnapshotChunk(SnapshotMeta meta, long offset, int maxBytes)
        throws IOException {
      check(Operation.READ_SNAPSHOT);
      return delegate.readSnapshotChunk(meta, offset, maxBytes);
    }

    @Override
    public InputStream openSnapshot(SnapshotMeta meta) throws IOException {
      check(Operation.READ_SNAPSHOT);
      return delegate.openSnapshot(meta);
    }

    @Override
    public void close() throws IOException {
      delegate.close();
    }
  }
}
