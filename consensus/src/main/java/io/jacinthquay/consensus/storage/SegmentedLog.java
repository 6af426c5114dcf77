package io.jacinthquay.consensus.storage;

import io.jacinthquay.consensus.raft.Entry;
import io.jacinthquay.consensus.raft.SnapshotMeta;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/** The log as a sequence of segments. Entries are appended to the last segment only. */
final class SegmentedLog implements AutoCloseable {
  private static final String WATERMARK_FILE = "synced";
  private static final int MAX_PREALLOCATION_BYTES = 256 << 10;

  private static final SyncWatermark.Position NOTHING_SYNCED = new SyncWatermark.Position(0, 0);

  private final Path folder;
  private final long segmentBytes;
  private final int preallocationBytes;
  private final TreeMap<Long, Segment> segments = new TreeMap<>();
  private final SyncWatermark watermark;

  private SegmentedLog(Path folder, long segmentBytes) throws IOException {
    this.folder = folder;
    this.segmentBytes = segmentBytes;
    this.preallocationBytes = (int) Math.min(segmentBytes, MAX_PREALLOCATION_BYTES);
    this.watermark = SyncWatermark.open(folder.resolve(WATERMARK_FILE));
  }

  /** Returns whether a folder holds a log. */
  static boolean exists(Path folder) throws IOException {
    return !paths(folder).isEmpty();
  }

  private static List<Path> paths(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.filter(f -> f.toString().endsWith(SegmentScan.SUFFIX)).sorted().toList();
    }
  }

  /**
   * Opens the log and adds its entries to a list. They have no gaps, neither among each other nor
   * after the snapshot.
   *
   * @throws io.jacinthquay.consensus.LogException if synced data is damaged or missing
   */
  static SegmentedLog open(
      Path folder, long segmentBytes, SnapshotMeta snapshot, List<Entry> entries)
      throws IOException {
    Optional<SyncWatermark.Position> synced = SyncWatermark.read(folder.resolve(WATERMARK_FILE));
    List<SegmentScan> scans = new ArrayList<>();
    for (Path path : paths(folder)) {
      scans.add(SegmentScan.of(path));
    }
    deleteIncompleteSegment(scans, synced);
    deleteObsoleteSegments(scans, snapshot);
    checkSegments(scans, snapshot, synced);
    SegmentedLog log = new SegmentedLog(folder, segmentBytes);
    try {
      for (SegmentScan scan : scans) {
        entries.addAll(scan.entries());
        long syncedOffset = syncedOffset(scan, synced);
        Segment segment = Segment.open(scan, log.preallocationBytes, syncedOffset);
        log.segments.put(scan.firstIndex(), segment);
      }
      log.resetIfNotContiguous(snapshot, entries);
    } catch (IOException e) {
      log.close();
      throw e;
    }
    return log;
  }

  /** Returns the offset before which a segment is known to be synced. */
  private static long syncedOffset(SegmentScan scan, Optional<SyncWatermark.Position> synced) {
    if (synced.isEmpty() || scan.firstIndex() > synced.get().segment()) {
      return 0;
    }
    boolean active = scan.firstIndex() == synced.get().segment();
    return active ? synced.get().offset() : scan.validBytes();
  }

  /** Deletes a last segment whose creation a crash interrupted: nothing in it was ever synced. */
  private static void deleteIncompleteSegment(
      List<SegmentScan> scans, Optional<SyncWatermark.Position> synced) throws IOException {
    if (scans.isEmpty()) {
      return;
    }
    SegmentScan last = scans.get(scans.size() - 1);
    boolean reachedByWatermark = synced.isPresent() && synced.get().segment() >= last.firstIndex();
    if (!last.headerValid() && !reachedByWatermark && !last.isLongerThanHeader()) {
      scans.remove(scans.size() - 1);
      Files.delete(last.path());
    }
  }

  /**
   * Deletes segments that the snapshot covers and after which entries are missing: they remain if
   * power was lost after segments were removed, since each removal may be lost on its own.
   */
  private static void deleteObsoleteSegments(List<SegmentScan> scans, SnapshotMeta snapshot)
      throws IOException {
    int obsolete = 0;
    for (int i = 1; i < scans.size(); i++) {
      boolean covered = scans.get(i).firstIndex() <= snapshot.index() + 1;
      if (covered && scans.get(i).firstIndex() != scans.get(i - 1).lastIndex() + 1) {
        obsolete = i;
      }
    }
    List<SegmentScan> older = scans.subList(0, obsolete);
    for (SegmentScan scan : older) {
      Files.delete(scan.path());
    }
    older.clear();
  }

  private static void checkSegments(
      List<SegmentScan> scans, SnapshotMeta snapshot, Optional<SyncWatermark.Position> synced) {
    for (int i = 0; i < scans.size(); i++) {
      SegmentScan scan = scans.get(i);
      boolean last = i == scans.size() - 1;
      if (!scan.headerValid()) {
        throw Corruption.of(scan.path(), "header is damaged");
      }
      if (scan.hasTornTail() && (!last || scan.hasSyncedRecordAfterDamage())) {
        throw Corruption.of(scan.path(), "record at byte " + scan.validBytes() + " is damaged");
      }
      if (!last && scans.get(i + 1).firstIndex() != scan.lastIndex() + 1) {
        throw Corruption.of(scan.path(), "entries are missing after index " + scan.lastIndex());
      }
    }
    if (!scans.isEmpty() && scans.get(0).firstIndex() > snapshot.index() + 1) {
      throw Corruption.of(
          scans.get(0).path(), "entries or a snapshot before this segment are missing");
    }
    synced
        .filter(position -> !position.equals(NOTHING_SYNCED))
        .ifPresent(position -> checkSynced(scans, position));
  }

  private static void checkSynced(List<SegmentScan> scans, SyncWatermark.Position position) {
    boolean present =
        scans.stream()
            .anyMatch(
                scan ->
                    scan.firstIndex() > position.segment()
                        || (scan.firstIndex() == position.segment()
                            && scan.validBytes() >= position.offset()));
    if (!present) {
      throw Corruption.of(
          Path.of(position.segment() + SegmentScan.SUFFIX),
          "synced entries before byte " + position.offset() + " are damaged or missing");
    }
  }

  /**
   * Resets the log to start after the snapshot if it ends before the snapshot or differs from it.
   */
  private void resetIfNotContiguous(SnapshotMeta snapshot, List<Entry> entries) throws IOException {
    boolean reachesSnapshot = lastIndex() >= snapshot.index();
    boolean sameTerm =
        entries.stream()
            .filter(entry -> entry.index() == snapshot.index())
            .allMatch(entry -> entry.term() == snapshot.term());
    if (segments.isEmpty() || !reachesSnapshot || !sameTerm) {
      entries.clear();
      reset(snapshot.index() + 1);
    }
  }

  private long lastIndex() {
    return segments.isEmpty() ? 0 : active().lastIndex();
  }

  private Segment active() {
    return segments.lastEntry().getValue();
  }

  void append(List<Entry> entries) throws IOException {
    long first = entries.get(0).index();
    if (first <= lastIndex()) {
      truncateFrom(first);
    }
    if (active().size() >= segmentBytes) {
      sync();
      Segment next = Segment.create(folder, first, preallocationBytes);
      segments.put(first, next);
    }
    active().append(entries);
  }

  private void truncateFrom(long index) throws IOException {
    Segment lastKept = segments.floorEntry(index).getValue();
    watermark.writeDurably(
        new SyncWatermark.Position(lastKept.firstIndex(), lastKept.offset(index)));
    while (active() != lastKept) {
      deleteLastSegment();
    }
    lastKept.truncateFrom(index);
  }

  /** Deletes the last segment durably, so that a loss of power leaves no gap before a later one. */
  private void deleteLastSegment() throws IOException {
    segments.pollLastEntry().getValue().delete();
    AtomicFile.syncFolder(folder);
  }

  void sync() throws IOException {
    active().sync();
    watermark.write(new SyncWatermark.Position(active().firstIndex(), active().size()));
  }

  /** Deletes segments that hold no entry above an index. */
  void compactTo(long index) throws IOException {
    while (segments.size() > 1 && segments.firstEntry().getValue().lastIndex() <= index) {
      segments.pollFirstEntry().getValue().delete();
    }
  }

  /** Removes all entries and starts the log at an index; durable on return. */
  void reset(long firstIndex) throws IOException {
    watermark.writeDurably(NOTHING_SYNCED);
    while (!segments.isEmpty()) {
      deleteLastSegment();
    }
    segments.put(firstIndex, Segment.create(folder, firstIndex, preallocationBytes));
    watermark.writeDurably(new SyncWatermark.Position(firstIndex, SegmentScan.HEADER_BYTES));
  }

  @Override
  public void close() throws IOException {
    try (watermark) {
      for (Segment segment : segments.values()) {
        segment.close();
      }
    }
  }
}
