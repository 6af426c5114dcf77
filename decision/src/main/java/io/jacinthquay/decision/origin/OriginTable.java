package io.jacinthquay.decision.origin;

import io.jacinthquay.model.StreamId;
import io.jacinthquay.model.StreamOrigin;
import java.util.ArrayList;
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
    /** The origin is new or replaces that of an older stream of the same id. */
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

  private record Entry(StreamOrigin origin, String source, long firstEventNanos) {}

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
   * Records an origin. Of two streams with one id, the one that began later counts, as its caller
   * is the one that still reads.
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
    Entry entry = new Entry(origin, source, now - age * NANOS_PER_MILLI);
    Entry known = entries.get(origin.stream());
    if (known != null) {
      boolean newer = entry.firstEventNanos() - known.firstEventNanos() > 0;
      if (known.origin().equals(origin) || !newer) {
        return Result.UNCHANGED;
      }
      remove(known);
    } else if (!hasRoom(source)) {
      sweep(now, FULL_SWEEP_INTERVAL_NANOS);
      if (!hasRoom(source)) {
        return Result.FULL;
      }
    }
    entries.put(origin.stream(), entry);
    countBySource.merge(source, 1, Integer::sum);
    return Result.RECORDED;
  }

  private boolean hasRoom(String source) {
    return entries.size() < capacity && countBySource.getOrDefault(source, 0) < capacityPerSource;
  }

  /** Returns the origin of a stream that callers may still take up. */
  public Optional<Aged> find(StreamId stream, long now) {
    return Optional.ofNullable(entries.get(stream))
        .filter(entry -> isLive(entry, now))
        .map(entry -> aged(entry, now));
  }

  /** Returns the ids of all streams that callers may still take up. */
  public List<StreamId> streams(long now) {
    sweep(now, 0);
    return new ArrayList<>(entries.keySet());
  }

  /** Returns the number of streams that are held. */
  public int size() {
    return entries.size();
  }

  private static boolean isLive(Entry entry, long now) {
    return now - entry.firstEventNanos() < LIFETIME_NANOS;
  }

  private static Aged aged(Entry entry, long now) {
    return new Aged(entry.origin(), (now - entry.firstEventNanos()) / NANOS_PER_MILLI);
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
