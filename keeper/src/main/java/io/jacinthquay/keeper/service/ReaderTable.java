package io.jacinthquay.keeper.service;

import io.jacinthquay.wire.gen.FeedPosition;
import io.jacinthquay.wire.gen.ReaderReport;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** The version in force at each reader, as reported to this keeper or to another one. */
public final class ReaderTable {
  /** Time without a report after which a reader counts as unreachable. */
  static final Duration UNREACHABLE_AFTER = Duration.ofSeconds(5);

  /** Time without a report after which a reader is removed from the table. */
  static final Duration REMOVED_AFTER = Duration.ofMinutes(10);

  private final LongSupplier nanoTime;
  private final Map<String, Reader> readers = new ConcurrentHashMap<>();

  /**
   * Creates an empty table.
   *
   * @param nanoTime the monotonic clock, in nanoseconds
   */
  public ReaderTable(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
  }

  /** A reader's version in force, when it was reported, and whether it was to this keeper. */
  private record Reader(long inForce, long heardNanos, boolean direct) {}

  /** Records the position of a reader and of the readers that poll through it. */
  public void recordPosition(FeedPosition position) {
    long now = nanoTime.getAsLong();
    update(position.getReader(), position.getInForce(), now, true);
    if (position.isSetRelayed()) {
      position.getRelayed().forEach((reader, version) -> update(reader, version, now, true));
    }
  }

  /** Records the positions that were reported to another keeper. */
  public void recordReports(List<ReaderReport> reports) {
    long now = nanoTime.getAsLong();
    for (ReaderReport report : reports) {
      long ageNanos = TimeUnit.MILLISECONDS.toNanos(report.getHeardMillisAgo());
      update(report.getReader(), report.getInForce(), now - ageNanos, false);
    }
  }

  private void update(String reader, long inForce, long atNanos, boolean direct) {
    if (reader == null || reader.isEmpty()) {
      return;
    }
    readers.merge(
        reader,
        new Reader(inForce, atNanos, direct),
        (previous, latest) -> latest.heardNanos() - previous.heardNanos() >= 0 ? latest : previous);
  }

  /** Returns the positions that were reported to this keeper itself, to be sent to the others. */
  public List<ReaderReport> reports() {
    removeSilent();
    return readers.entrySet().stream()
        .filter(e -> e.getValue().direct())
        .map(e -> new ReaderReport(e.getKey(), e.getValue().inForce(), ageMillis(e.getValue())))
        .toList();
  }

  /** Returns the version in force by name of reader. */
  public Map<String, Long> inForce() {
    removeSilent();
    Map<String, Long> versions = new TreeMap<>();
    readers.forEach((name, reader) -> versions.put(name, reader.inForce()));
    return versions;
  }

  /** Returns the time since the last report of each reader, in milliseconds, by name of reader. */
  public Map<String, Long> millisSinceHeard() {
    Map<String, Long> ages = new TreeMap<>();
    readers.forEach((name, reader) -> ages.put(name, ageMillis(reader)));
    return ages;
  }

  /** Returns whether every reachable reader has a version in force. */
  public boolean allReachableHave(long version) {
    return readers.values().stream()
        .allMatch(r -> r.inForce() >= version || ageMillis(r) > UNREACHABLE_AFTER.toMillis());
  }

  private long ageMillis(Reader reader) {
    return TimeUnit.NANOSECONDS.toMillis(nanoTime.getAsLong() - reader.heardNanos());
  }

  private void removeSilent() {
    readers.values().removeIf(reader -> ageMillis(reader) > REMOVED_AFTER.toMillis());
  }
}
