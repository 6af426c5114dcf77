package io.jacinthquay.consensus.storage;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
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
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FileLogStorageTest {
  private static final MemberId MEMBER = new MemberId("k1");
  private static final int SEGMENT_BYTES = 250;
  private static final ReplicaId PEER = new ReplicaId(new MemberId("k2"), 7);
  private static final Membership MEMBERSHIP = new Membership(Set.of(PEER), Set.of());

  @TempDir Path root;

  private Path folder() {
    return root.resolve("data");
  }

  private LogStorage open() {
    return FileLogStorage.open(folder(), MEMBER, SEGMENT_BYTES);
  }

  private static Entry command(long index, long term) {
    byte[] bytes = ("command " + index + " of term " + term).getBytes(UTF_8);
    return new Entry(index, term, new Payload.Command(bytes));
  }

  private static List<Entry> commands(long from, long to, long term) {
    List<Entry> entries = new ArrayList<>();
    for (long index = from; index <= to; index++) {
      entries.add(command(index, term));
    }
    return entries;
  }

  /** Writes 12 synced entries in several segments, a vote and a snapshot at index 5. */
  private void writeSample() throws IOException {
    try (LogStorage storage = open()) {
      storage.saveHardState(new HardState(3, Optional.of(PEER)));
      for (long index = 1; index <= 12; index++) {
        storage.append(commands(index, index, 2));
        storage.sync();
      }
      SnapshotMeta meta = new SnapshotMeta(5, 2, MEMBERSHIP);
      storage.saveSnapshot(meta, out -> out.write("state at 5".getBytes(UTF_8)));
      storage.compactTo(5);
    }
  }

  private static List<Long> indexes(RecoveredState recovered) {
    return recovered.entries().stream().map(Entry::index).toList();
  }

  private RecoveredState reopen() throws IOException {
    try (LogStorage storage = open()) {
      return storage.takeRecovered();
    }
  }

  private List<Path> files(String suffix) throws IOException {
    try (Stream<Path> files = Files.list(folder())) {
      return files.filter(file -> file.toString().endsWith(suffix)).sorted().toList();
    }
  }

  private Path lastSegment() throws IOException {
    return files(".log").stream().max(Comparator.naturalOrder()).orElseThrow();
  }

  private void copyTo(Path target) throws IOException {
    Files.createDirectories(target);
    for (Path file : files("")) {
      Files.copy(file, target.resolve(file.getFileName()));
    }
  }

  @Test
  void recoversAllSyncedData() throws IOException {
    writeSample();
    try (LogStorage storage = open()) {
      RecoveredState recovered = storage.takeRecovered();
      assertEquals(new HardState(3, Optional.of(PEER)), recovered.hardState());
      assertEquals(new SnapshotMeta(5, 2, MEMBERSHIP), recovered.snapshot());
      List<Long> indexes = indexes(recovered);
      assertEquals(12, indexes.get(indexes.size() - 1));
      assertEquals(6, indexes.get(0));
      try (InputStream in = storage.openSnapshot(recovered.snapshot())) {
        assertArrayEquals("state at 5".getBytes(UTF_8), in.readAllBytes());
      }
      assertArrayEquals(
          ((Payload.Command) command(12, 2).payload()).bytes(),
          ((Payload.Command) recovered.entries().get(indexes.size() - 1).payload()).bytes());
    }
  }

  @Test
  void replacesEntriesAcrossSegments() throws IOException {
    try (LogStorage storage = open()) {
      for (long index = 1; index <= 20; index++) {
        storage.append(commands(index, index, 1));
      }
      storage.sync();
      storage.append(commands(7, 8, 2));
      storage.sync();
    }
    RecoveredState recovered = reopen();
    assertEquals(8, recovered.entries().size());
    assertEquals(
        List.of(1L, 1L, 1L, 1L, 1L, 1L, 2L, 2L),
        recovered.entries().stream().map(Entry::term).toList());
  }

  @Test
  void keepsIncarnationUntilFolderIsEmptied() throws IOException {
    ReplicaId first;
    try (LogStorage storage = open()) {
      first = storage.self();
    }
    try (LogStorage storage = open()) {
      assertEquals(first, storage.self());
    }
    for (Path file : files("")) {
      Files.delete(file);
    }
    try (LogStorage storage = open()) {
      assertNotEquals(first, storage.self());
      assertEquals(MEMBER, storage.self().member());
    }
  }

  @Test
  void rejectsFolderOfAnotherMember() throws IOException {
    writeSample();
    LogException exception =
        assertThrows(
            LogException.class,
            () -> FileLogStorage.open(folder(), new MemberId("k9"), SEGMENT_BYTES));
    assertEquals(LogError.STORAGE_FOREIGN, exception.failure().error());
  }

  @Test
  void truncatesTornTailAtEveryByte() throws IOException {
    writeSample();
    Path last = lastSegment();
    int synced = validBytes(last);
    try (LogStorage storage = open()) {
      storage.takeRecovered();
      storage.append(commands(13, 13, 2));
    }
    byte[] original = Files.readAllBytes(last);
    int end = validBytes(last);
    assertTrue(end > synced);
    for (int length = synced; length < end; length++) {
      Files.write(last, java.util.Arrays.copyOf(original, length));
      assertEquals(12L, lastIndex(indexes(reopen())), "cut at " + length);
      Files.write(last, java.util.Arrays.copyOf(java.util.Arrays.copyOf(original, length), end));
      assertEquals(12L, lastIndex(indexes(reopen())), "zeros from " + length);
      Files.write(last, original);
      flipBit(last, length);
      assertEquals(12L, lastIndex(indexes(reopen())), "bit flipped at " + length);
    }
  }

  private static int validBytes(Path segment) throws IOException {
    return (int) SegmentScan.of(segment).validBytes();
  }

  private static long lastIndex(List<Long> indexes) {
    return indexes.get(indexes.size() - 1);
  }

  private static void flipBit(Path file, int position) throws IOException {
    byte[] bytes = Files.readAllBytes(file);
    bytes[position] ^= 0x10;
    Files.write(file, bytes);
  }

  @Test
  void rejectsLogWithMissingSyncedBytes() throws IOException {
    writeSample();
    Path last = lastSegment();
    byte[] original = Files.readAllBytes(last);
    int end = validBytes(last);
    for (int length = 0; length < end; length++) {
      Files.write(last, java.util.Arrays.copyOf(original, length));
      LogException exception = assertThrows(LogException.class, this::reopen, "cut at " + length);
      assertEquals(LogError.STORAGE_CORRUPT, exception.failure().error());
    }
    Files.delete(last);
    assertThrows(LogException.class, this::reopen);
  }

  @Test
  void detectsBitFlipsInSyncedData() throws IOException {
    writeSample();
    List<Long> expected = indexes(reopen());
    int rejected = 0;
    for (Path file : files("")) {
      byte[] original = Files.readAllBytes(file);
      for (int position = 0; position < original.length; position++) {
        flipBit(file, position);
        rejected += rejectsOrRecoversAll(expected, file + " at " + position) ? 1 : 0;
        Files.write(file, original);
      }
    }
    assertTrue(rejected > 500, "rejected " + rejected);
  }

  private boolean rejectsOrRecoversAll(List<Long> expected, String where) throws IOException {
    try {
      RecoveredState recovered = reopen();
      assertEquals(expected, indexes(recovered), where);
      assertEquals(new HardState(3, Optional.of(PEER)), recovered.hardState(), where);
      assertEquals(new SnapshotMeta(5, 2, MEMBERSHIP), recovered.snapshot(), where);
      return false;
    } catch (LogException exception) {
      assertEquals(LogError.STORAGE_CORRUPT, exception.failure().error(), where);
      return true;
    }
  }

  @Test
  void distinguishesDamageFromTornTailWithoutWatermark() throws IOException {
    writeSample();
    Path first = files(".log").get(0);
    Files.delete(folder().resolve("synced"));
    int end = validBytes(first) - 1;
    flipBit(first, end);
    assertThrows(LogException.class, this::reopen);
    flipBit(first, end);
    Path last = lastSegment();
    try (LogStorage storage = open()) {
      storage.takeRecovered();
      storage.append(commands(13, 13, 2));
      storage.sync();
      storage.append(commands(14, 14, 2));
      storage.sync();
    }
    assertEquals(last, lastSegment());
    Files.delete(folder().resolve("synced"));
    flipBit(last, SegmentScan.HEADER_BYTES + SegmentScan.RECORD_HEADER_BYTES + 1);
    assertThrows(LogException.class, this::reopen);
  }

  @ParameterizedTest
  @ValueSource(strings = {"identity", "hard-state"})
  void rejectsFolderWithMissingFile(String name) throws IOException {
    writeSample();
    Files.delete(folder().resolve(name));
    LogException exception = assertThrows(LogException.class, this::reopen);
    assertEquals(LogError.STORAGE_CORRUPT, exception.failure().error());
  }

  @ParameterizedTest
  @ValueSource(ints = {10, 1000})
  void installsSnapshotFromChunks(int chunkBytes) throws IOException {
    Path source = root.resolve("source");
    SnapshotMeta meta = new SnapshotMeta(40, 6, MEMBERSHIP);
    writeSample();
    try (LogStorage from = FileLogStorage.open(source, PEER.member(), SEGMENT_BYTES);
        LogStorage to = open()) {
      to.takeRecovered();
      from.saveSnapshot(meta, out -> out.write(ByteBuffer.allocate(50).putInt(0, 9).array()));
      copySnapshot(from, to, meta, chunkBytes);
      to.append(commands(41, 42, 6));
      to.sync();
    }
    RecoveredState recovered = reopen();
    assertEquals(meta, recovered.snapshot());
    assertEquals(List.of(41L, 42L), indexes(recovered));
  }

  private static void copySnapshot(
      LogStorage from, LogStorage to, SnapshotMeta meta, int chunkBytes) throws IOException {
    long offset = 0;
    boolean last = false;
    while (!last) {
      LogStorage.Chunk chunk = from.readSnapshotChunk(meta, offset, chunkBytes);
      last = chunk.last();
      assertTrue(to.receiveSnapshotChunk(new SnapshotWrite(meta, offset, chunk.data(), last)));
      offset += chunk.data().length;
    }
  }

  @Test
  void discardsDamagedSnapshotFromLeader() throws IOException {
    writeSample();
    SnapshotMeta meta = new SnapshotMeta(40, 6, MEMBERSHIP);
    try (LogStorage storage = open()) {
      assertFalse(storage.receiveSnapshotChunk(new SnapshotWrite(meta, 0, new byte[100], true)));
    }
    assertEquals(5, reopen().snapshot().index());
  }

  /** The process crashes after it renames the snapshot file and before it resets the log. */
  @ParameterizedTest
  @ValueSource(longs = {3, 12, 40})
  void finishesSnapshotInstallationAfterCrash(long index) throws IOException {
    writeSample();
    try (LogStorage storage = open()) {
      SnapshotMeta meta = new SnapshotMeta(index, 9, MEMBERSHIP);
      storage.saveSnapshot(meta, out -> out.write(1));
    }
    RecoveredState recovered = reopen();
    boolean newer = index > 5;
    assertEquals(newer ? index : 5, recovered.snapshot().index());
    assertEquals(newer, recovered.entries().isEmpty());
  }

  /** The process crashes after it creates the new log and before it deletes the old one. */
  @Test
  void deletesOldLogAfterCrashDuringSnapshotInstallation() throws IOException {
    writeSample();
    Path copy = root.resolve("copy");
    copyTo(copy);
    try (LogStorage storage = open()) {
      SnapshotMeta meta = new SnapshotMeta(40, 9, MEMBERSHIP);
      storage.saveSnapshot(meta, out -> out.write(1));
    }
    reopen();
    for (Path old : files(".log")) {
      assertFalse(Files.exists(copy.resolve(old.getFileName())));
    }
    try (Stream<Path> old = Files.list(copy)) {
      for (Path file : old.filter(f -> f.toString().endsWith(".log")).toList()) {
        Files.copy(file, folder().resolve(file.getFileName()));
      }
    }
    RecoveredState recovered = reopen();
    assertEquals(40, recovered.snapshot().index());
    assertTrue(recovered.entries().isEmpty());
  }

  @Test
  void deletesSegmentWithIncompleteHeader() throws IOException {
    writeSample();
    Path torn = Segment.path(folder(), 13);
    Files.write(torn, new byte[] {1, 2, 3}, StandardOpenOption.CREATE);
    assertEquals(12L, lastIndex(indexes(reopen())));
    assertFalse(Files.exists(torn));
  }

  /** The process ends, or its disk is full, after the watermark and before the first segment. */
  @Test
  void startsAgainAfterFirstStartThatCreatedNoSegment() throws IOException {
    ReplicaId first;
    try (LogStorage storage = open()) {
      first = storage.self();
    }
    Files.delete(lastSegment());
    try (SyncWatermark watermark = SyncWatermark.open(folder().resolve("synced"))) {
      watermark.writeDurably(new SyncWatermark.Position(0, 0));
    }
    try (LogStorage storage = open()) {
      assertEquals(first, storage.self());
      storage.append(commands(1, 1, 1));
      storage.sync();
    }
    assertEquals(List.of(1L), indexes(reopen()));
  }
}
