package io.jacinthquay.consensus;

import io.jacinthquay.consensus.raft.Entry;
import io.jacinthquay.consensus.raft.HardState;
import io.jacinthquay.consensus.raft.Ready.SnapshotWrite;
import io.jacinthquay.consensus.raft.RecoveredState;
import io.jacinthquay.consensus.raft.SnapshotMeta;
import io.jacinthquay.consensus.storage.LogStorage;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A storage that delegates to another one, counts syncs, and can fail or block them. */
final class FailingStorage implements LogStorage {
  enum Fault {
    DISK_FULL,
    SYNC
  }

  private final LogStorage delegate;
  private final AtomicInteger syncs = new AtomicInteger();
  private final Semaphore syncPermit = new Semaphore(1);
  private volatile Fault fault;

  FailingStorage(LogStorage delegate) {
    this.delegate = delegate;
  }

  void fail(Fault value) {
    fault = value;
  }

  int syncs() {
    return syncs.get();
  }

  void blockNextSync() {
    syncPermit.acquireUninterruptibly();
  }

  void unblockSync() {
    syncPermit.release();
  }

  private void failOn(Fault candidate) throws IOException {
    if (fault == candidate) {
      throw new IOException(
          candidate == Fault.SYNC ? "Input/output error" : "No space left on device");
    }
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
    failOn(Fault.DISK_FULL);
    delegate.saveHardState(hardState);
  }

  @Override
  public void append(List<Entry> entries) throws IOException {
    failOn(Fault.DISK_FULL);
    delegate.append(entries);
  }

  @Override
  public void sync() throws IOException {
    failOn(Fault.SYNC);
    syncs.incrementAndGet();
    syncPermit.acquireUninterruptibly();
    syncPermit.release();
    delegate.sync();
  }

  @Override
  public void compactTo(long index) throws IOException {
    delegate.compactTo(index);
  }

  @Override
  public void saveSnapshot(SnapshotMeta meta, SnapshotWriter writer) throws IOException {
    delegate.saveSnapshot(meta, writer);
  }

  @Override
  public boolean receiveSnapshotChunk(SnapshotWrite write) throws IOException {
    return delegate.receiveSnapshotChunk(write);
  }

  @Override
  public Chunk readSnapshotChunk(SnapshotMeta meta, long offset, int maxBytes) throws IOException {
    return delegate.readSnapshotChunk(meta, offset, maxBytes);
  }

  @Override
  public InputStream openSnapshot(SnapshotMeta meta) throws IOException {
    return delegate.openSnapshot(meta);
  }

  @Override
  public void close() throws IOException {
    delegate.close();
  }
}
