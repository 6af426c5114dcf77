package io.jacinthquay.decision.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;

/**
 * The engines of a pool that are reserved for pause-sensitive streams.
 *
 * <p>While an engine reads a long prompt, every stream on it pauses for too long. If chats ran on
 * all engines, any long prompt would delay some of them. As many engines as the chats need, the
 * same ones at every router, are therefore reserved for chats; long prompts go there only when all
 * other engines are full. Not thread-safe.
 */
final class ReservedEngines {
  /** Total pause sensitivity per reserved engine: eight chats with a target of 0.12 s. */
  private static final double SENSITIVITY_PER_ENGINE = 7;

  /** Fewest engines of a pool that reserves any; in smaller pools too few would be left. */
  private static final int MIN_POOL_ENGINES = 4;

  /** Interval between refreshes of the size, in nanoseconds. */
  private static final long REFRESH_NANOS = 250_000_000L;

  /**
   * Time before the reservation shrinks by one engine, in nanoseconds; each change moves the home
   * engines of prefixes.
   */
  private static final long SHRINK_NANOS = 5_000_000_000L;

  private final PrefillPause pause;
  private Set<UpstreamState> reserved = Set.of();
  private int size = 1;
  private long refreshedAt;
  private long sizeNeededAt;
  private boolean current;

  /** Returns an empty reservation. */
  ReservedEngines(PrefillPause pause) {
    this.pause = pause;
  }

  /** Returns whether the engines are reserved for requests like this one. */
  boolean isFor(PoolRequest work) {
    return pause.exceedsTarget(work);
  }

  /** Makes the next refresh immediate because the engines of the pool changed. */
  void invalidate() {
    current = false;
  }

  /**
   * Updates the reservation if a refresh is due.
   *
   * @param engines the engines that may be used now; evaluated only if a refresh is due
   */
  void refresh(Supplier<List<UpstreamState>> engines, long now) {
    if (current && now - refreshedAt < REFRESH_NANOS) {
      return;
    }
    current = true;
    refreshedAt = now;
    List<UpstreamState> usable = engines.get();
    double sensitivity =
        usable.stream().mapToDouble(state -> state.load().pauseSensitivity()).sum();
    int neededSize = 1 + (int) Math.floor(sensitivity / SENSITIVITY_PER_ENGINE);
    if (neededSize >= size) {
      size = neededSize;
      sizeNeededAt = now;
    } else if (now - sizeNeededAt > SHRINK_NANOS) {
      size--;
      sizeNeededAt = now;
    }
    List<UpstreamState> ordered = new ArrayList<>(usable);
    ordered.sort(
        Comparator.comparingLong(state -> RendezvousHash.weight(0, state.listing().upstream())));
    int maxSize = usable.size() < MIN_POOL_ENGINES ? 0 : usable.size() / 2;
    reserved = new HashSet<>(ordered.subList(0, Math.min(size, maxSize)));
  }

  boolean contains(UpstreamState state) {
    return reserved.contains(state);
  }
}
