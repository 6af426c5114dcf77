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

/** The log as a row of segments, of which only the last one grows. */
final class SegmentedLog implements AutoCloseable {
  private static final String MARK_NAME = "synced";
  private static final int MAX_GROWTH_BYTES = 256 << 10;

  private static final SyncMark.Position NOTHING_SYNCED = new SyncMark.Position(0, 0);

  private final Path folder;
  private final long segmentBytes;
  private final int growthBytes;
  private final TreeMap<Long, Segment> segments = new TreeMap<>();
  private final SyncMark mark;

  private SegmentedLog(Path folder, long segmentBytes) throws IOException {
    this.folder = folder;
    this.segmentBytes = segmentBytes;
    this.growthBytes = (int) Math.min(segmentBytes, MAX_GROWTH_BYTES);
    this.mark = SyncMark.open(folder.resolve(MARK_NAME));
  }

  /** Tells whether a folder holds a log. */
  static boolean exists(Path folder) throws IOException {
    return !paths(folder).isEmpty();
  }

  private static List<Path> paths(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.filter(f -> f.toString().endsWith(SegmentScan.SUFFIX)).sorted().toList();
    }
  }

  /** Opens the log and adds its entries, without gaps and joining the snapshot, to a list. */
  static SegmentedLog open(
      Path folder, long segmentBytes, SnapshotMeta snapshot, List<Entry> entries)
      throws IOException {
    Optional<SyncMark.Position> synced = SyncMark.read(folder.resolve(MARK_NAME));
    List<SegmentScan> scans = new ArrayList<>();
    for (Path path : paths(folder)) {
      scans.add(SegmentScan.of(path));
    }
    dropTornCreation(scans, synced);
    dropReplaced(scans, snapshot);
    check(scans, snapshot, synced);
    SegmentedLog log = new SegmentedLog(folder, segmentBytes);
    for (SegmentScan scan : scans) {
      entries.addAll(scan.entries());
      log.segments.put(scan.firstIndex(), Segment.open(scan, log.growthBytes));
    }
    log.joinSnapshot(snapshot, entries);
    return log;
  }

  /** Drops a last segment whose creation was cut short, so that nothing in it was ever synced. */
  private static void dropTornCreation(List<SegmentScan> scans, Optional<SyncMark.Position> synced)
      throws IOException {
    if (scans.isEmpty()) {
      return;
    }
    SegmentScan last = scans.get(scans.size() - 1);
    boolean marked = synced.isPresent() && synced.get().segment() >= last.firstIndex();
    if (!last.headerValid() && !marked && !last.isLongerThanHeader()) {
      scans.remove(scans.size() - 1);
      Files.delete(last.path());
    }
  }

  /** Drops segments from before an installed snapshot that a crash left behind. */
  private static void dropReplaced(List<SegmentScan> scans, SnapshotMeta snapshot)
      throws IOException {
    long first = snapshot.index() + 1;
    boolean installed =
        snapshot.index() > 0 && scans.stream().anyMatch(scan -> scan.firstIndex() == first);
    if (!installed) {
      return;
    }
    List<SegmentScan> older = scans.stream().filter(s -> s.firstIndex() < first).toList();
    boolean joins = !older.isEmpty() && older.get(older.size() - 1).lastIndex() == first - 1;
    if (!joins) {
      for (SegmentScan scan : older) {
        Files.delete(scan.path());
      }
      scans.removeAll(older);
    }
  }

  private static void check(
      List<SegmentScan> scans, SnapshotMeta snapshot, Optional<SyncMark.Position> synced) {
    for (int i = 0; i < scans.size(); i++) {
      SegmentScan scan = scans.get(i);
      boolean last = i == scans.size() - 1;
      if (!scan.headerValid()) {
        throw Corruption.of(scan.path(), "header is damaged");
      }
      if (scan.isTorn() && (!last || scan.syncedBeyondDamage())) {
        throw Corruption.of(scan.path(), "record at byte " + scan.validBytes() + " is damaged");
      }
      if (!last && scans.get(i + 1).firstIndex() != scan.lastIndex() + 1) {
        throw Corruption.of(scan.path(), "entries are missing after " + scan.lastIndex());
      }
    }
    if (!scans.isEmpty() && scans.get(0).firstIndex() > snapshot.index() + 1) {
      throw Corruption.of(scans.get(0).path(), "entries or a snapshot before it are missing");
    }
    synced.ifPresent(position -> checkSynced(scans, position));
  }

  private static void checkSynced(List<SegmentScan> scans, SyncMark.Position position) {
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

  /** Starts afresh behind the snapshot if the log ends before it or disagrees with it. */
  private void joinSnapshot(SnapshotMeta snapshot, List<Entry> entries) throws IOException {
    boolean covered = lastIndex() >= snapshot.index();
    boolean agrees =
        entries.stream()
            .filter(entry -> entry.index() == snapshot.index())
            .allMatch(entry -> entry.term() == snapshot.term());
    if (segments.isEmpty() || !covered || !agrees) {
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
      Segment next = Segment.create(folder, first, growthBytes);
      segments.put(first, next);
    }
    active().append(entries);
  }

  private void truncateFrom(long index) throws IOException {
    Segment kept = segments.floorEntry(index).getValue();
    mark.writeDurably(new SyncMark.Position(kept.firstIndex(), kept.offset(index)));
    while (active() != kept) {
      segments.pollLastEntry().getValue().delete();
    }
    AtomicFile.syncFolder(folder);
    kept.truncateFrom(index);
  }

  void sync() throws IOException {
    active().sync();
    mark.write(new SyncMark.Position(active().firstIndex(), active().size()));
  }

  /** Drops segments that hold no entry above an index. */
  void compactTo(long index) throws IOException {
    while (segments.size() > 1 && segments.firstEntry().getValue().lastIndex() <= index) {
      segments.pollFirstEntry().getValue().delete();
    }
  }

  /** Drops all entries and starts at an index; durable on return. */
  void reset(long firstIndex) throws IOException {
    List<Segment> old = new ArrayList<>(segments.values());
    segments.clear();
    for (Segment segment : old) {
      segment.close();
    }
    mark.writeDurably(NOTHING_SYNCED);
    segments.put(firstIndex, Segment.create(folder, firstIndex, growthBytes));
    mark.writeDurably(new SyncMark.Position(firstIndex, SegmentScan.HEADER_BYTES));
    for (Segment segment : old) {
      if (segment.firstIndex() != firstIndex) {
        segment.delete();
      }
    }
    AtomicFile.syncFolder(folder);
  }

  @Override
  public void close() throws IOException {
    for (Segment segment : segments.values()) {
      segment.close();
    }
    mark.close();
  }
}
