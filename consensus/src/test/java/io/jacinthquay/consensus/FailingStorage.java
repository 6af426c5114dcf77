package io.jacinthquay.consensus;

import io.jacinthquay.consensus.raft.Entry;
import io.jacinthquay.consensus.raft.HardState;
import io.jacinthquay.consensus.raft.Ready.SnapshotWrite;
import io.jacinthquay.consensus.raft.Recovered;
import io.jacinthquay.consensus.raft.SnapshotMeta;
import io.jacinthquay.consensus.storage.LogStorage;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** Passes on to a storage until told to fail, counts syncs and can hold one. */
final class FailingStorage implements LogStorage {
  enum Fault {
    DISK_FULL,
    SYNC
  }

  private final LogStorage target;
  private final AtomicInteger syncs = new AtomicInteger();
  private final Semaphore gate = new Semaphore(1);
  private volatile Fault fault;

  FailingStorage(LogStorage target) {
    this.target = target;
  }

  void fail(Fault value) {
    fault = value;
  }

  int syncs() {
    return syncs.get();
  }

  void holdNextSync() {
    gate.acquireUninterruptibly();
  }

  void releaseSync() {
    gate.release();
  }

  private void failOn(Fault now) throws IOException {
    if (fault == now) {
      throw new IOException(now == Fault.SYNC ? "Input/output error" : "No space left on device");
    }
  }

  @Override
  public ReplicaId self() {
    return target.self();
  }

  @Override
  public Recovered takeRecovered() {
    return target.takeRecovered();
  }

  @Override
  public void saveHardState(HardState hardState) throws IOException {
    failOn(Fault.DISK_FULL);
    target.saveHardState(hardState);
  }

  @Override
  public void append(List<Entry> entries) throws IOException {
    failOn(Fault.DISK_FULL);
    target.append(entries);
  }

  @Override
  public void sync() throws IOException {
    failOn(Fault.SYNC);
    syncs.incrementAndGet();
    gate.acquireUninterruptibly();
    gate.release();
    target.sync();
  }

  @Override
  public void compactTo(long index) throws IOException {
    target.compactTo(index);
  }

  @Override
  public void saveSnapshot(SnapshotMeta meta, SnapshotWriter writer) throws IOException {
    target.saveSnapshot(meta, writer);
  }

  @Override
  public boolean receiveSnapshotChunk(SnapshotWrite write) throws IOException {
    return target.receiveSnapshotChunk(write);
  }

  @Override
  public Chunk readSnapshotChunk(SnapshotMeta meta, long offset, int maxBytes) throws IOException {
    return target.readSnapshotChunk(meta, offset, maxBytes);
  }

  @Override
  public InputStream openSnapshot(SnapshotMeta meta) throws IOException {
    return target.openSnapshot(meta);
  }

  @Override
  public void close() throws IOException {
    target.close();
  }
}
