package io.jacinthquay.control.service;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.jacinthquay.consensus.LogStatus;
import io.jacinthquay.control.state.ControlState;
import io.jacinthquay.control.state.PoolVersions;
import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.StreamOrigin;
import io.jacinthquay.runtime.LogThrottle;
import io.vavr.collection.Set;
import io.vavr.collection.TreeSet;
import io.vavr.collection.Vector;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Records which versions of its software each pool has, and tells the pools whose version every
 * stream has that a caller may still take up.
 *
 * <p>The time since a change that this VM has seen being made is taken from its monotonic clock;
 * the replicated time of day is used only for changes from before its start. Thread-safe.
 */
public final class PoolVersionMonitor {
  private static final Logger log = LogManager.getLogger();

  /**
   * Time after its last upstream of a version has left the list in which a stream of that version
   * may still begin, as the list lags and requests that were sent before are still answered.
   */
  static final Duration LATE_BEGIN = Duration.ofSeconds(10);

  /** Time after which no caller takes up a stream of a version that has left. */
  static final Duration MEMORY = StreamOrigin.LIFETIME.plus(LATE_BEGIN);

  /**
   * Age of the list from which it may lack a version that other VMs have seen: three polls of a
   * leader. It is shorter than the time of recovery, so that after this time only a list counts
   * that was polled in the leader's own term.
   */
  static final Duration MAX_LIST_AGE = Duration.ofMillis(1_200);

  /**
   * Time for which a version must be missing in the list before that is recorded. A list that lacks
   * entries for a moment causes no changes, and to record the end late is safe.
   */
  static final Duration MISSING = Duration.ofSeconds(2);

  /** Time for which a proposal is awaited before it is made again, in nanoseconds. */
  private static final long PROPOSAL_TIMEOUT_NANOS = 2_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private record Proposal(Set<String> versions, long atNanos) {}

  private final ControlStore store;
  private final UpstreamListCache list;
  private final LongSupplier clock;
  private final LongSupplier wallMillis;
  private final LogThrottle failureLines;
  private final Map<String, Proposal> proposals = new HashMap<>();

  /** Since when the list lacks recorded versions of a pool, and has no other ones. */
  private final Map<String, Long> missingSinceNanos = new HashMap<>();

  private final Counter proposed = new Counter();
  private final Counter failed = new Counter();

  /** When this VM saw the changes that were made while it ran, by log index. */
  private final Map<Long, Long> seenNanos = new HashMap<>();

  private PoolVersions lastSeen = PoolVersions.EMPTY;
  private boolean caughtUp;

  /**
   * Returns a monitor.
   *
   * @param store holds the recorded versions
   * @param list the platform's list of upstreams
   * @param clock monotonic, in nanoseconds
   * @param wallMillis the time of day that all VMs share, in milliseconds since the epoch
   */
  public PoolVersionMonitor(
      ControlStore store, UpstreamListCache list, LongSupplier clock, LongSupplier wallMillis) {
    this.store = store;
    this.list = list;
    this.clock = clock;
    this.wallMillis = wallMillis;
    this.failureLines = new LogThrottle(clock.getAsLong());
  }

  /** Registers the metrics; docs/METRICS.md lists them. */
  public void register(MetricRegistry registry) {
    registry.gauge("jq_control_pool_version_changes_total", () -> proposed::getCount);
    registry.gauge("jq_control_pool_version_failures_total", () -> failed::getCount);
  }

  /**
   * Notes when this VM sees the changes of the replicated state; called by every VM, often. What a
   * replica applies before it has caught up with the log may have changed long before.
   */
  public synchronized void observe() {
    LogStatus status = store.status();
    PoolVersions current = store.tables().poolVersions();
    if (current != lastSeen) {
      if (caughtUp) {
        java.util.Set<Long> known = indexes(lastSeen);
        long now = clock.getAsLong();
        indexes(current).stream()
            .filter(index -> !known.contains(index))
            .forEach(index -> seenNanos.putIfAbsent(index, now));
      }
      seenNanos.keySet().retainAll(indexes(current));
      lastSeen = current;
    }
    caughtUp |= status.leader().isPresent() && status.appliedIndex() >= status.commitIndex();
  }

  private static java.util.Set<Long> indexes(PoolVersions versions) {
    java.util.Set<Long> indexes = new HashSet<>();
    versions.sets().values().forEach(sets -> sets.forEach(set -> indexes.add(set.index())));
    return indexes;
  }

  /** Proposes the versions of the pools that have changed; called by the leader after a poll. */
  public synchronized void propose() {
    observe();
    Map<String, Set<String>> listed = listedVersions();
    PoolVersions recorded = store.tables().poolVersions();
    java.util.Set<String> pools = new HashSet<>(listed.keySet());
    pools.addAll(recorded.sets().keySet().toJavaSet());
    for (String pool : pools) {
      Set<String> versions = PoolVersions.bounded(listed.getOrDefault(pool, TreeSet.empty()));
      if (isChange(pool, versions, recorded.newest(pool))) {
        propose(pool, versions);
      }
    }
  }

  private boolean isChange(String pool, Set<String> versions, Optional<Set<String>> recorded) {
    boolean missingOnly = recorded.isPresent() && recorded.get().containsAll(versions);
    if (!missingOnly || recorded.get().equals(versions)) {
      missingSinceNanos.remove(pool);
      return !missingOnly;
    }
    long now = clock.getAsLong();
    missingSinceNanos.putIfAbsent(pool, now);
    return now - missingSinceNanos.get(pool) >= MISSING.toNanos();
  }

  private Map<String, Set<String>> listedVersions() {
    Map<String, Set<String>> versions = new TreeMap<>();
    for (UpstreamListing listing : list.snapshot().listings()) {
      versions.merge(
          listing.pool().value(), TreeSet.of(listing.version().value()), (a, b) -> a.union(b));
    }
    return versions;
  }

  private void propose(String pool, Set<String> versions) {
    long now = clock.getAsLong();
    Proposal earlier = proposals.get(pool);
    if (earlier != null && now - earlier.atNanos() < PROPOSAL_TIMEOUT_NANOS) {
      return;
    }
    Proposal proposal = new Proposal(versions, now);
    proposals.put(pool, proposal);
    proposed.inc();
    log.info("pool {} has the versions {} of its software now", pool, versions.mkString(", "));
    var unused =
        store
            .propose(
                ControlState.poolVersionsCommand(
                    pool, versions.toJavaList(), wallMillis.getAsLong()))
            .thenAccept(
                result ->
                    result
                        .peek(applied -> forget(pool, proposal))
                        .peekLeft(failure -> recordFailure(pool, failure)));
  }

  private synchronized void forget(String pool, Proposal proposal) {
    proposals.remove(pool, proposal);
  }

  private synchronized void recordFailure(String pool, Failure failure) {
    failed.inc();
    if (failureLines.tryAcquire(clock.getAsLong())) {
      log.warn("the versions of pool {} could not be recorded: {}", pool, failure.detail());
    }
  }

  /**
   * Returns the version that began every stream of a pool which a caller may still take up; empty
   * if several may have, or if this VM can't tell.
   */
  public synchronized Optional<SoftwareVersion> onlyVersion(PoolName pool) {
    observe();
    UpstreamListCache.Snapshot listed = list.snapshot();
    Vector<PoolVersions.Since> sets = store.tables().poolVersions().sets(pool.value());
    if (sets.isEmpty()
        || listed.number() == 0
        || clock.getAsLong() - listed.polledNanos() >= MAX_LIST_AGE.toNanos()) {
      return Optional.empty();
    }
    Set<String> newest = sets.last().versions();
    if (newest.size() != 1 || !newest.equals(versions(listed, pool))) {
      return Optional.empty();
    }
    for (int i = sets.size() - 1; i > 0 && elapsedMillis(sets.get(i)) < MEMORY.toMillis(); i--) {
      if (!newest.containsAll(sets.get(i - 1).versions())) {
        return Optional.empty();
      }
    }
    return Optional.of(new SoftwareVersion(newest.head()));
  }

  private static Set<String> versions(UpstreamListCache.Snapshot listed, PoolName pool) {
    return TreeSet.ofAll(
        listed.listings().stream()
            .filter(listing -> listing.pool().equals(pool))
            .map(listing -> listing.version().value()));
  }

  /** Returns the time since a change, in milliseconds. */
  private long elapsedMillis(PoolVersions.Since change) {
    Long seen = seenNanos.get(change.index());
    return seen == null
        ? wallMillis.getAsLong() - change.sinceMillis()
        : (clock.getAsLong() - seen) / NANOS_PER_MILLI;
  }
}
