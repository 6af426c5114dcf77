package io.jacinthquay.router.adapter.thrift;

import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.StreamOrigin;
import io.jacinthquay.runtime.time.ClockReading;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * The pools that, in an unbroken run of lists, this router has seen with one version only.
 *
 * <p>Handles take-ups while nobody leads. The leader confirms that no earlier version counts; from
 * then on the lists show whether another one has appeared. Nothing is kept over the end of the
 * process, and only monotonic times count; as those leave out a suspension of the VM, it ends all
 * runs. Times are in nanoseconds. Thread-safe.
 */
final class PoolVersionRuns {
  /** Shortest time for which an upstream is listed, also one that crashes or drains. */
  static final Duration MIN_LISTED = Duration.ofSeconds(2);

  /** Longest time after a change until the platform's list shows it. */
  static final Duration MAX_LAG = Duration.ofMillis(800);

  /**
   * Longest time between two polls of a run. No version appears and leaves unseen within it, even
   * if the first list shows changes as late as possible and the second one at once.
   */
  static final Duration MAX_GAP = MIN_LISTED.minus(MAX_LAG);

  /**
   * Time by which the platform may show a change to one reader later than to another. A list shows
   * all versions that may have begun a stream if it was polled this long after its first event.
   */
  static final Duration MAX_SPREAD = Duration.ofSeconds(1);

  /**
   * Time after another version was listed in which a caller may take up one of its streams; the
   * leader has not seen a version that appeared and left while nobody led.
   */
  static final Duration MEMORY = StreamOrigin.LIFETIME.plusSeconds(10);

  private record Run(SoftwareVersion version, long sinceNanos, boolean confirmed) {}

  private final Map<PoolName, Run> runs = new HashMap<>();

  /** When each version was listed last. */
  private final Map<PoolName, Map<SoftwareVersion, Long>> listedNanos = new HashMap<>();

  private List<UpstreamListing> lastListings = List.of();
  private Map<PoolName, Set<SoftwareVersion>> lastVersions = Map.of();
  private final Supplier<ClockReading> clock;
  private ClockReading lastReading;
  private long polledNanos;
  private boolean polled;

  /** Returns an instance without lists that reads the clocks of the Java runtime. */
  PoolVersionRuns() {
    this(ClockReading::now);
  }

  /** Returns an instance without lists. */
  PoolVersionRuns(Supplier<ClockReading> clock) {
    this.clock = clock;
    this.lastReading = clock.get();
  }

  /**
   * Records a list of any source.
   *
   * @param earliestNanos time before which the platform was certainly not polled for it
   * @param latestNanos time after which it was certainly not
   */
  synchronized void record(List<UpstreamListing> listings, long earliestNanos, long latestNanos) {
    endRunsIfSuspended();
    boolean newer = !polled || earliestNanos - polledNanos > 0;
    if (newer) {
      if (polled && latestNanos - polledNanos > MAX_GAP.toNanos()) {
        runs.clear();
      }
      polled = true;
      polledNanos = earliestNanos;
    }
    Map<PoolName, Set<SoftwareVersion>> pools = versions(listings);
    if (newer) {
      runs.keySet().retainAll(pools.keySet());
    }
    pools.forEach((pool, versions) -> recordPool(pool, versions, latestNanos, newer));
  }

  /**
   * Ends all runs if the VM was suspended since the last list; another one that was polled before
   * this was noticed begins none.
   */
  private void endRunsIfSuspended() {
    ClockReading reading = clock.get();
    if (!lastReading.agreesWith(reading)) {
      runs.clear();
      polled = true;
      polledNanos = reading.nanos();
    }
    lastReading = reading;
  }

  private Map<PoolName, Set<SoftwareVersion>> versions(List<UpstreamListing> listings) {
    // Most views confirm the list that was recorded before.
    if (listings != lastListings) {
      Map<PoolName, Set<SoftwareVersion>> versions = new HashMap<>();
      for (UpstreamListing listing : listings) {
        versions.computeIfAbsent(listing.pool(), pool -> new HashSet<>()).add(listing.version());
      }
      lastListings = listings;
      lastVersions = versions;
    }
    return lastVersions;
  }

  private void recordPool(PoolName pool, Set<SoftwareVersion> versions, long now, boolean newer) {
    Map<SoftwareVersion, Long> listed = listedNanos.computeIfAbsent(pool, p -> new HashMap<>());
    listed.values().removeIf(nanos -> now - nanos >= MEMORY.toNanos());
    versions.forEach(version -> listed.merge(version, now, (a, b) -> a - b > 0 ? a : b));
    Run run = runs.get(pool);
    if (run != null && now - run.sinceNanos() < 0) {
      return;
    }
    if (run != null && !versions.equals(Set.of(run.version()))) {
      runs.remove(pool);
      run = null;
    }
    if (run == null && newer && versions.size() == 1) {
      runs.put(pool, new Run(versions.iterator().next(), now, false));
    }
  }

  /** Returns the pools for which the leader has not confirmed the only version that is listed. */
  synchronized List<PoolName> unconfirmed() {
    return runs.entrySet().stream()
        .filter(entry -> !entry.getValue().confirmed())
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Records what a leader that knows all streams says of a pool.
   *
   * @param only the version that began every stream which a caller may take up; empty if several
   *     may have
   * @param askedNanos time at or before which the leader was asked
   */
  synchronized void recordLeader(PoolName pool, Optional<SoftwareVersion> only, long askedNanos) {
    Run run = runs.get(pool);
    if (run == null) {
      return;
    }
    boolean confirmed =
        only.equals(Optional.of(run.version()))
            && run.sinceNanos() - askedNanos < 0
            && !wasOtherListed(pool, run.version(), askedNanos);
    runs.put(pool, new Run(run.version(), run.sinceNanos(), confirmed));
  }

  /**
   * Returns whether this router saw a version of a pool beside a given one, a stream of which a
   * caller may still take up.
   */
  synchronized boolean wasOtherListed(PoolName pool, SoftwareVersion version, long now) {
    return listedNanos.getOrDefault(pool, Map.of()).entrySet().stream()
        .anyMatch(
            listed ->
                !listed.getKey().equals(version) && now - listed.getValue() < MEMORY.toNanos());
  }

  /** Returns whether {@link #onlyVersion} will know the pool unless another version appears. */
  synchronized boolean isConfirmed(PoolName pool) {
    Run run = runs.get(pool);
    return run != null && run.confirmed();
  }

  /**
   * Returns the version that began every stream of a pool which a caller may take up.
   *
   * @param askedNanos a time after the first event of the stream in question
   */
  synchronized Optional<SoftwareVersion> onlyVersion(PoolName pool, long askedNanos) {
    return isConfirmed(pool) && polledNanos - askedNanos >= MAX_SPREAD.toNanos()
        ? Optional.of(runs.get(pool).version())
        : Optional.empty();
  }
}
