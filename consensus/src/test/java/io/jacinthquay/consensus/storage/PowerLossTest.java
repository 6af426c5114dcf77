package io.jacinthquay.consensus.storage;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.jacinthquay.consensus.LogError;
import io.jacinthquay.consensus.LogException;
import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.consensus.Membership;
import io.jacinthquay.consensus.ReplicaId;
import io.jacinthquay.consensus.raft.Entry;
import io.jacinthquay.consensus.raft.HardState;
import io.jacinthquay.consensus.raft.Payload;
import io.jacinthquay.consensus.raft.Ready.SnapshotWrite;
import io.jacinthquay.consensus.raft.RecoveredState;
import io.jacinthquay.consensus.raft.SnapshotMeta;
import io.jacinthquay.consensus.storage.RecordedDisk.PowerLossError;
import io.jacinthquay.consensus.storage.RecordedDisk.Unsynced;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A storage whose machine loses power, or whose disk is full, before each single operation. */
class PowerLossTest {
  private static final MemberId MEMBER = new MemberId("k1");
  private static final ReplicaId PEER = new ReplicaId(new MemberId("k2"), 7);
  private static final Membership MEMBERSHIP = new Membership(Set.of(PEER), Set.of());
  private static final int SEGMENT_BYTES = 250;
  private static final int DRAWS = 2;
  private static final long SEED = 20261206;

  @TempDir Path root;

  private final List<String> failures = new ArrayList<>();
  private int folders;

  /** What a storage has promised to keep. */
  private record Promise(HardState hardState, SnapshotMeta snapshot, TreeMap<Long, Long> terms) {
    static final Promise NONE = new Promise(HardState.INITIAL, SnapshotMeta.NONE, new TreeMap<>());
  }

  /** One folder during a run of the scenario, until the power is lost or a write is refused. */
  private static final class Life {
    private final RecordedDisk disk = new RecordedDisk();
    private final Path real;
    private Optional<ReplicaId> self = Optional.empty();
    private Promise kept = Promise.NONE;
    private Promise next = Promise.NONE;
    private LogStorage storage;

    Life(Path real) throws IOException {
      this.real = real;
      if (Files.exists(real)) {
        try (Stream<Path> files = Files.list(real)) {
          for (Path file : files.toList()) {
            disk.adopt(file.getFileName().toString(), Files.readAllBytes(file));
          }
        }
      }
    }

    RecoveredState open() {
      storage = FileLogStorage.open(new RecordedFileSystem(disk).wrap(real), MEMBER, SEGMENT_BYTES);
      self = Optional.of(storage.self());
      return storage.takeRecovered();
    }

    void vote(long term) throws IOException {
      next = new Promise(new HardState(term, Optional.of(PEER)), kept.snapshot, kept.terms);
      storage.saveHardState(next.hardState);
      kept = next;
    }

    void append(long from, long to, long term) throws IOException {
      TreeMap<Long, Long> terms = new TreeMap<>(kept.terms.headMap(from));
      List<Entry> entries = new ArrayList<>();
      for (long index = from; index <= to; index++) {
        terms.put(index, term);
        entries.add(new Entry(index, term, new Payload.Command(new byte[40])));
      }
      next = new Promise(kept.hardState, kept.snapshot, terms);
      storage.append(entries);
      storage.sync();
      kept = next;
    }

    void appendEach(long from, long to, long term) throws IOException {
      for (long index = from; index <= to; index++) {
        append(index, index, term);
      }
    }

    void saveSnapshot(long index, long compactTo) throws IOException {
      SnapshotMeta meta = new SnapshotMeta(index, kept.terms.get(index), MEMBERSHIP);
      next = new Promise(kept.hardState, meta, kept.terms);
      storage.saveSnapshot(meta, out -> out.write(new byte[300]));
      kept = next;
      storage.compactTo(compactTo);
    }

    /** Installs a snapshot that doesn't agree with the log. */
    void receiveSnapshot(long index, long term, byte[] file) throws IOException {
      SnapshotMeta meta = new SnapshotMeta(index, term, MEMBERSHIP);
      next = new Promise(kept.hardState, meta, new TreeMap<>());
      int half = file.length / 2;
      byte[] first = java.util.Arrays.copyOf(file, half);
      byte[] second = java.util.Arrays.copyOfRange(file, half, file.length);
      storage.receiveSnapshotChunk(new SnapshotWrite(meta, 0, first, false));
      assertTrue(storage.receiveSnapshotChunk(new SnapshotWrite(meta, half, second, true)));
      kept = next;
    }

    void reopen() throws IOException {
      storage.close();
      storage = null;
      open();
    }

    void close() throws IOException {
      if (storage != null) {
        storage.close();
        storage = null;
      }
    }
  }

  private static byte[] snapshotFile(Path folder, long index, long term) throws IOException {
    try (LogStorage storage = FileLogStorage.open(folder, MEMBER, SEGMENT_BYTES)) {
      SnapshotMeta meta = new SnapshotMeta(index, term, MEMBERSHIP);
      storage.saveSnapshot(meta, out -> out.write(new byte[300]));
      ByteArrayOutputStream file = new ByteArrayOutputStream();
      LogStorage.Chunk chunk;
      do {
        chunk = storage.readSnapshotChunk(meta, file.size(), 100);
        file.write(chunk.data());
      } while (!chunk.last());
      return file.toByteArray();
    }
  }

  private void runScenario(Life life, List<byte[]> snapshots) throws IOException {
    life.open();
    life.vote(1);
    life.appendEach(1, 14, 1);
    life.saveSnapshot(6, 3);
    life.appendEach(15, 30, 1);
    life.saveSnapshot(28, 26);
    life.appendEach(31, 48, 2);
    life.vote(3);
    life.append(34, 36, 3);
    life.reopen();
    life.appendEach(37, 44, 3);
    life.receiveSnapshot(60, 4, snapshots.get(0));
    life.appendEach(61, 80, 4);
    life.receiveSnapshot(66, 5, snapshots.get(1));
    life.vote(5);
    life.appendEach(67, 72, 5);
    life.saveSnapshot(70, 70);
    life.reopen();
    life.append(73, 75, 6);
  }

  private List<byte[]> snapshots() throws IOException {
    return List.of(
        snapshotFile(root.resolve("snapshot60"), 60, 4),
        snapshotFile(root.resolve("snapshot66"), 66, 5));
  }

  private Path newFolder() {
    return root.resolve("folder" + folders++);
  }

  /** Returns a folder whose scenario ended at an operation. */
  private Life stopAt(int operation, List<byte[]> snapshots) throws IOException {
    Life life = new Life(newFolder());
    life.disk.losePowerBefore(operation);
    try {
      runScenario(life, snapshots);
      life.close();
    } catch (PowerLossError e) {
      return life;
    }
    return life;
  }

  private static void checkKept(Life life, ReplicaId self, RecoveredState recovered) {
    life.self.ifPresent(identity -> assertEquals(identity, self));
    assertTrue(
        List.of(life.kept.hardState, life.next.hardState).contains(recovered.hardState()),
        "hard state is " + recovered.hardState());
    long covered = recovered.snapshot().index();
    assertTrue(covered >= life.kept.snapshot.index(), "snapshot is " + recovered.snapshot());
    TreeMap<Long, Long> terms = new TreeMap<>();
    recovered.entries().forEach(entry -> terms.put(entry.index(), entry.term()));
    boolean installed = covered > life.kept.snapshot.index() && life.next.terms.isEmpty();
    if (installed) {
      return;
    }
    life.kept.terms.forEach(
        (index, term) -> {
          boolean replaced = !term.equals(life.next.terms.getOrDefault(index, term));
          boolean truncated = !life.next.terms.isEmpty() && !life.next.terms.containsKey(index);
          if (index > covered && !replaced && !truncated) {
            assertEquals(term, terms.get(index), "term of entry " + index);
          }
        });
  }

  /** Opens a folder twice, checks what it holds and that it can be used. */
  private void check(String moment, Life before, Path remains) throws IOException {
    Life after = new Life(remains);
    try {
      RecoveredState recovered = after.open();
      checkKept(before, after.storage.self(), recovered);
      List<Entry> entries = recovered.entries();
      long last =
          entries.isEmpty()
              ? recovered.snapshot().index()
              : entries.get(entries.size() - 1).index();
      after.append(last + 1, last + 2, 9);
      after.close();
      assertEquals(last + 2, lastIndex(after.open()));
    } catch (LogException | AssertionError e) {
      failures.add(moment + ": " + e.getMessage());
    } finally {
      after.close();
    }
  }

  private static long lastIndex(RecoveredState recovered) {
    return recovered.entries().get(recovered.entries().size() - 1).index();
  }

  private void checkRemains(int operation, Life life, SplittableRandom random) throws IOException {
    for (int draw = 0; draw < DRAWS + 2; draw++) {
      Unsynced unsynced = draw == 0 ? Unsynced.KEPT : draw == 1 ? Unsynced.LOST : Unsynced.DRAWN;
      Path remains = newFolder();
      life.disk.writeRemains(remains, unsynced, random);
      String moment = "operation " + operation + ", unsynced " + unsynced + " " + draw;
      if (unsynced == Unsynced.DRAWN) {
        remains = loseAgain(remains, random);
      }
      check(moment, life, remains);
    }
  }

  /** Loses power once more while the folder is opened, and returns what remains. */
  private Path loseAgain(Path folder, SplittableRandom random) throws IOException {
    Life life = new Life(folder);
    life.disk.losePowerBefore(random.nextInt(20));
    try {
      life.open();
    } catch (PowerLossError | LogException e) {
      // The check that follows opens it again.
      life.storage = null;
    }
    life.close();
    Path remains = newFolder();
    life.disk.writeRemains(remains, Unsynced.DRAWN, random);
    return remains;
  }

  @Test
  void startsWithAllThatWasSyncedAfterLossOfPowerAtAnyMoment() throws IOException {
    List<byte[]> snapshots = snapshots();
    SplittableRandom random = new SplittableRandom(SEED);
    int operations = stopAt(Integer.MAX_VALUE, snapshots).disk.operations();
    for (int operation = 0; operation <= operations; operation++) {
      checkRemains(operation, stopAt(operation, snapshots), random);
    }
    assertEquals(List.of(), failures, failures.size() + " of " + operations + " operations");
  }

  @Test
  void opensAgainAfterFullDiskAtAnyMoment() throws IOException {
    List<byte[]> snapshots = snapshots();
    SplittableRandom random = new SplittableRandom(SEED);
    int operations = stopAt(Integer.MAX_VALUE, snapshots).disk.operations();
    for (int operation = 0; operation <= operations; operation++) {
      for (int refused : new int[] {1 + random.nextInt(12), Integer.MAX_VALUE}) {
        Life life = new Life(newFolder());
        life.disk.refuseWrites(operation, operation + Math.min(refused, 1 << 20));
        try {
          runScenario(life, snapshots);
        } catch (IOException | LogException e) {
          failures.addAll(corruption("operation " + operation, e));
        }
        life.close();
        for (int attempt = 0; attempt < 3; attempt++) {
          openWhileFull("operation " + operation, life);
        }
        life.disk.refuseWrites(Integer.MAX_VALUE, Integer.MAX_VALUE);
        check("operation " + operation + ", " + refused + " refused", life, life.real);
      }
    }
    assertEquals(List.of(), failures, failures.size() + " of " + operations + " operations");
  }

  private void openWhileFull(String moment, Life life) throws IOException {
    try {
      life.open();
    } catch (LogException e) {
      failures.addAll(corruption(moment, e));
      life.storage = null;
    }
    life.close();
  }

  private static List<String> corruption(String moment, Exception e) {
    boolean damaged =
        e instanceof LogException failure && failure.failure().error() == LogError.STORAGE_CORRUPT;
    return damaged ? List.of(moment + ", opened while full: " + e.getMessage()) : List.of();
  }

  /** A folder whose erasure was interrupted is the old one, or an empty one. */
  @Test
  void erasesAllOrNothingAfterLossOfPowerAtAnyMoment() throws IOException {
    SplittableRandom random = new SplittableRandom(SEED);
    int operations = eraseUntil(Integer.MAX_VALUE).disk.operations();
    for (int operation = 0; operation <= operations; operation++) {
      Life life = eraseUntil(operation);
      for (int draw = 0; draw < 8 * DRAWS; draw++) {
        Unsynced unsynced = draw == 0 ? Unsynced.KEPT : draw == 1 ? Unsynced.LOST : Unsynced.DRAWN;
        Path remains = newFolder();
        life.disk.writeRemains(remains, unsynced, random);
        checkErasure("operation " + operation + ", unsynced " + unsynced, life, remains);
      }
    }
    assertEquals(List.of(), failures, failures.size() + " of " + operations + " operations");
  }

  private Life eraseUntil(int operation) throws IOException {
    Path old = newFolder();
    Life written = new Life(old);
    written.open();
    written.vote(2);
    written.appendEach(1, 10, 2);
    written.saveSnapshot(6, 3);
    written.close();
    Life life = new Life(old);
    life.self = written.self;
    life.kept = written.kept;
    life.next = written.kept;
    life.disk.losePowerBefore(operation);
    try {
      new DataFolder(new RecordedFileSystem(life.disk).wrap(old)).erase();
    } catch (PowerLossError e) {
      return life;
    }
    return life;
  }

  private void checkErasure(String moment, Life before, Path remains) throws IOException {
    Life after = new Life(remains);
    try {
      new DataFolder(remains).finishErasure();
      RecoveredState recovered = after.open();
      if (before.self.equals(Optional.of(after.storage.self()))) {
        checkKept(before, after.storage.self(), recovered);
      } else {
        assertEquals(List.of(), recovered.entries());
      }
    } catch (LogException | AssertionError e) {
      failures.add(moment + ": " + e.getMessage());
    } finally {
      after.close();
    }
  }
}
