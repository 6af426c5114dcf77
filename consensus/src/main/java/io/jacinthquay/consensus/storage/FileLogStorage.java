package io.jacinthquay.consensus.storage;

import io.jacinthquay.consensus.LogError;
import io.jacinthquay.consensus.LogException;
import io.jacinthquay.consensus.LogFailure;
import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.consensus.ReplicaId;
import io.jacinthquay.consensus.SnapshotWriter;
import io.jacinthquay.consensus.raft.Entry;
import io.jacinthquay.consensus.raft.HardState;
import io.jacinthquay.consensus.raft.Ready.SnapshotWrite;
import io.jacinthquay.consensus.raft.RecoveredState;
import io.jacinthquay.consensus.raft.SnapshotMeta;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/** Storage of one replica in files of a data folder. */
public final class FileLogStorage implements LogStorage {
  private static final String IDENTITY_FILE = "identity";
  private static final String HARD_STATE_FILE = "hard-state";

  private final FolderLock lock;
  private final ReplicaId self;
  private final AtomicFile hardStateFile;
  private final SnapshotFiles snapshots;
  private final SegmentedLog log;
  private RecoveredState recovered;

  private FileLogStorage(FolderLock lock, Path folder, MemberId member, long segmentBytes)
      throws IOException {
    this.lock = lock;
    hardStateFile = new AtomicFile(folder.resolve(HARD_STATE_FILE));
    snapshots = new SnapshotFiles(folder);
    SnapshotMeta snapshot = snapshots.latest();
    self = readOrCreateIdentity(folder, member, snapshot);
    HardState hardState = readHardState(folder);
    List<Entry> entries = new ArrayList<>();
    log = SegmentedLog.open(folder, segmentBytes, snapshot, entries);
    recovered = new RecoveredState(hardState, snapshot, entries);
  }

  /**
   * Opens a data folder, or creates it with a new incarnation.
   *
   * @param folder the folder
   * @param member the member that the folder must belong to
   * @param segmentBytes size in bytes at which a new segment starts
   * @return the storage
   * @throws LogException if the folder is locked by another process, belongs to another member, is
   *     damaged or can't be read
   */
  public static LogStorage open(Path folder, MemberId member, long segmentBytes) {
    FolderLock lock = null;
    try {
      Files.createDirectories(folder);
      lock = FolderLock.acquire(folder);
      return new FileLogStorage(lock, folder, member, segmentBytes);
    } catch (FileAlreadyExistsException e) {
      release(lock);
      String detail = folder + " is not a folder";
      throw new LogException(LogFailure.of(LogError.STORAGE_FOREIGN, detail), e);
    } catch (IOException e) {
      release(lock);
      String detail = folder + ": " + e.getMessage();
      throw new LogException(LogFailure.of(LogError.STORAGE_FAILED, detail), e);
    } catch (RuntimeException | Error e) {
      release(lock);
      throw e;
    }
  }

  private static void release(FolderLock lock) {
    if (lock == null) {
      return;
    }
    try {
      lock.close();
    } catch (IOException e) {
      throw new LogException(
          LogFailure.of(LogError.STORAGE_FAILED, "closing the lock file failed: " + e), e);
    }
  }

  private ReplicaId readOrCreateIdentity(Path folder, MemberId member, SnapshotMeta snapshot)
      throws IOException {
    AtomicFile file = new AtomicFile(folder.resolve(IDENTITY_FILE));
    if (!file.exists()) {
      if (snapshot.index() > 0 || SegmentedLog.exists(folder)) {
        throw Corruption.of(folder.resolve(IDENTITY_FILE), "file is missing");
      }
      return createIdentity(file, member);
    }
    ReplicaId stored = Codec.readReplica(Codec.input(file.read()));
    if (!stored.member().equals(member)) {
      String detail = folder + " belongs to " + stored.member() + ", not to " + member;
      throw new LogException(LogFailure.of(LogError.STORAGE_FOREIGN, detail), null);
    }
    return stored;
  }

  private ReplicaId createIdentity(AtomicFile identity, MemberId member) throws IOException {
    saveHardState(HardState.INITIAL);
    SecureRandom random = new SecureRandom();
    long incarnation = ReplicaId.ANY_INCARNATION;
    while (incarnation == ReplicaId.ANY_INCARNATION) {
      incarnation = random.nextLong();
    }
    ReplicaId replica = new ReplicaId(member, incarnation);
    identity.write(Codec.encode(out -> Codec.write(out, replica)));
    return replica;
  }

  private HardState readHardState(Path folder) throws IOException {
    if (!hardStateFile.exists()) {
      throw Corruption.of(folder.resolve(HARD_STATE_FILE), "file is missing");
    }
    return Codec.readHardState(Codec.input(hardStateFile.read()));
  }

  @Override
  public ReplicaId self() {
    return self;
  }

  @Override
  public RecoveredState takeRecovered() {
    RecoveredState result = Objects.requireNonNull(recovered, "recovered");
    recovered = null;
    return result;
  }

  @Override
  public void saveHardState(HardState hardState) throws IOException {
    hardStateFile.write(Codec.encode(out -> Codec.write(out, hardState)));
  }

  @Override
  public void append(List<Entry> entries) throws IOException {
    log.append(entries);
  }

  @Override
  public void sync() throws IOException {
    log.sync();
  }

  @Override
  public void compactTo(long index) throws IOException {
    log.compactTo(index);
  }

  @Override
  public void saveSnapshot(SnapshotMeta meta, SnapshotWriter writer) throws IOException {
    snapshots.save(meta, writer);
  }

  @Override
  public boolean receiveSnapshotChunk(SnapshotWrite write) throws IOException {
    boolean intact = snapshots.receive(write);
    if (intact && write.last()) {
      log.reset(write.meta().index() + 1);
    }
    return intact;
  }

  @Override
  public Chunk readSnapshotChunk(SnapshotMeta meta, long offset, int maxBytes) throws IOException {
    return snapshots.read(meta, offset, maxBytes);
  }

  @Override
  public InputStream openSnapshot(SnapshotMeta meta) throws IOException {
    return snapshots.openState(meta);
  }

  @Override
  public void close() throws IOException {
    try (lock) {
      log.close();
    }
  }
}
