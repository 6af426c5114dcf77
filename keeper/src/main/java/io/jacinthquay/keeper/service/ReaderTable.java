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

/** Which version is in force at each reader, as heard by this keeper and by the others. */
public final class ReaderTable {
  /** Readers silent for longer are taken to be unreachable. */
  static final Duration REACHABLE = Duration.ofSeconds(5);

  /** Readers silent for longer are forgotten. */
  static final Duration REMEMBERED = Duration.ofMinutes(10);

  private final LongSupplier nanoTime;
  private final Map<String, Reader> readers = new ConcurrentHashMap<>();

  /**
   * Returns an empty table.
   *
   * @param nanoTime the monotonic clock
   */
  public ReaderTable(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
  }

  /** A reader's version, when it was heard and whether this keeper heard it itself. */
  private record Reader(long inForce, long heardNanos, boolean direct) {}

  /** Takes the position of a reader and of those that poll through it. */
  public void heard(FeedPosition position) {
    long now = nanoTime.getAsLong();
    heard(position.getReader(), position.getInForce(), now, true);
    if (position.isSetRelayed()) {
      position.getRelayed().forEach((reader, version) -> heard(reader, version, now, true));
    }
  }

  /** Takes what another keeper heard. */
  public void heard(List<ReaderReport> reports) {
    long now = nanoTime.getAsLong();
    for (ReaderReport report : reports) {
      long age = TimeUnit.MILLISECONDS.toNanos(report.getHeardMillisAgo());
      heard(report.getReader(), report.getInForce(), now - age, false);
    }
  }

  private void heard(String reader, long inForce, long atNanos, boolean direct) {
    if (reader == null || reader.isEmpty()) {
      return;
    }
    readers.merge(
        reader,
        new Reader(inForce, atNanos, direct),
        (old, now) -> now.heardNanos() - old.heardNanos() >= 0 ? now : old);
  }

  /** Returns what this keeper heard itself, for other keepers. */
  public List<ReaderReport> reports() {
    forgetSilent();
    return readers.entrySet().stream()
        .filter(e -> e.getValue().direct())
        .map(e -> new ReaderReport(e.getKey(), e.getValue().inForce(), age(e.getValue())))
        .toList();
  }

  /** Returns the version in force by reader. */
  public Map<String, Long> inForce() {
    forgetSilent();
    Map<String, Long> versions = new TreeMap<>();
    readers.forEach((name, reader) -> versions.put(name, reader.inForce()));
    return versions;
  }

  /** Returns how long ago each reader was heard, in milliseconds. */
  public Map<String, Long> silence() {
    Map<String, Long> ages = new TreeMap<>();
    readers.forEach((name, reader) -> ages.put(name, age(reader)));
    return ages;
  }

  /** Returns whether every reachable reader has a version in force. */
  public boolean reachableHave(long version) {
    return readers.values().stream()
        .allMatch(r -> r.inForce() >= version || age(r) > REACHABLE.toMillis());
  }

  private long age(Reader reader) {
    return TimeUnit.NANOSECONDS.toMillis(nanoTime.getAsLong() - reader.heardNanos());
  }

  private void forgetSilent() {
    readers.values().removeIf(reader -> age(reader) > REMEMBERED.toMillis());
  }
}
