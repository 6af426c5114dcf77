package io.jacinthquay.decision.origin;

import io.jacinthquay.model.StreamId;
import io.jacinthquay.model.StreamOrigin;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The origins of streams that callers may still take up, at most a given number.
 *
 * <p>Handles floods of new streams: a full table takes no further stream, since an origin that is
 * missing leads to a refusal only where several versions serve, whereas one that was pushed out
 * would have belonged to a stream that a caller is reading. Not thread-safe.
 */
public final class OriginTable {
  private static final long LIFETIME_NANOS = StreamOrigin.LIFETIME.toNanos();
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Time between two removals of all streams that have ended, in nanoseconds. */
  private static final long SWEEP_INTERVAL_NANOS = 1_000_000_000L;

  /**
   * Time between two removals while there is no room, in nanoseconds. Each goes through all
   * streams, and a full table may get thousands of new ones a second.
   */
  private static final long FULL_SWEEP_INTERVAL_NANOS = 100_000_000L;

  /** What became of a record. */
  public enum Result {
    /** The origin is new, or differs from that of another stream of the same id. */
    RECORDED,
    /** The origin was known, or belongs to a stream that callers can't take up any more. */
    UNCHANGED,
    /** There is no room. */
    FULL
  }

  /**
   * The origin of a stream.
   *
   * @param ageMillis time since the first event, in milliseconds
   */
  public record Aged(StreamOrigin origin, long ageMillis) {}

  /**
   * An entry.
   *
   * @param other another origin that was reported for the same id
   */
  private record Entry(
      StreamOrigin origin, Optional<StreamOrigin> other, String source, long firstEventNanos) {
    private boolean holds(StreamOrigin reported) {
      return origin.equals(reported) || other.equals(Optional.of(reported));
    }
  }

  private final int capacity;
  private final int capacityPerSource;
  private final Map<StreamId, Entry> entries = new HashMap<>();
  private final Map<String, Integer> countBySource = new HashMap<>();
  private long sweptNanos;

  /**
   * Returns an empty table.
   *
   * @param capacity maximum number of streams
   * @param capacityPerSource maximum number of streams from one source
   * @param now the time on the monotonic clock of all later calls, in nanoseconds
   */
  public OriginTable(int capacity, int capacityPerSource, long now) {
    this.capacity = capacity;
    this.capacityPerSource = capacityPerSource;
    this.sweptNanos = now;
  }

  /**
   * Records an origin. If another one was reported for the same id, neither counts, as nobody can
   * tell which of the streams a caller takes up.
   *
   * @param source who reports it
   * @param ageMillis time since the first event, in milliseconds
   */
  public Result record(StreamOrigin origin, String source, long ageMillis, long now) {
    sweep(now, SWEEP_INTERVAL_NANOS);
    long age = Math.max(0, ageMillis);
    if (age >= StreamOrigin.LIFETIME.toMillis()) {
      return Result.UNCHANGED;
    }
    long firstEventNanos = now - age * NANOS_PER_MILLI;
    Entry known = entries.get(origin.stream());
    if (known != null && !isLive(known, now)) {
      remove(known);
      known = null;
    }
    if (known != null) {
      return known.holds(origin) ? Result.UNCHANGED : recordOther(known, origin, firstEventNanos);
    }
    if (!hasRoom(source)) {
      sweep(now, FULL_SWEEP_INTERVAL_NANOS);
      if (!hasRoom(source)) {
        return Result.FULL;
      }
    }
    entries.put(origin.stream(), new Entry(origin, Optional.empty(), source, firstEventNanos));
    countBySource.merge(source, 1, Integer::sum);
    return Result.RECORDED;
  }

  private Result recordOther(Entry known, StreamOrigin other, long firstEventNanos) {
    boolean later = firstEventNanos - known.firstEventNanos() > 0;
    entries.put(
        other.stream(),
        new Entry(
            known.origin(),
            Optional.of(other),
            known.source(),
            later ? firstEventNanos : known.firstEventNanos()));
    return Result.RECORDED;
  }

  private boolean hasRoom(String source) {
    return entries.size() < capacity && countBySource.getOrDefault(source, 0) < capacityPerSource;
  }

  /** Returns the origin of a stream that callers may still take up; empty if there are several. */
  public Optional<Aged> find(StreamId stream, long now) {
    return Optional.of(reported(stream, now))
        .filter(origins -> origins.size() == 1)
        .map(origins -> origins.get(0));
  }

  /** Returns the origins that were reported for a stream that callers may still take up. */
  public List<Aged> reported(StreamId stream, long now) {
    List<Aged> origins = new ArrayList<>();
    Entry entry = entries.get(stream);
    if (entry != null && isLive(entry, now)) {
      long ageMillis = (now - entry.firstEventNanos()) / NANOS_PER_MILLI;
      origins.add(new Aged(entry.origin(), ageMillis));
      entry.other().ifPresent(other -> origins.add(new Aged(other, ageMillis)));
    }
    return origins;
  }

  /** Returns the ids of all streams that callers may still take up, the newest ones first. */
  public List<StreamId> streams(long now) {
    sweep(now, 0);
    return entries.values().stream()
        .sorted(Comparator.comparingLong(entry -> now - entry.firstEventNanos()))
        .map(entry -> entry.origin().stream())
        .toList();
  }

  /** Returns the number of streams that are held. */
  public int size() {
    return entries.size();
  }

  private static boolean isLive(Entry entry, long now) {
    return now - entry.firstEventNanos() < LIFETIME_NANOS;
  }

  private void sweep(long now, long minIntervalNanos) {
    if (now - sweptNanos < minIntervalNanos) {
      return;
    }
    sweptNanos = now;
    List<Entry> ended = entries.values().stream().filter(entry -> !isLive(entry, now)).toList();
    ended.forEach(this::remove);
  }

  private void remove(Entry entry) {
    entries.remove(entry.origin().stream());
    countBySource.computeIfPresent(
        entry.source(), (source, count) -> count == 1 ? null : count - 1);
  }
}
