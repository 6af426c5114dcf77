package io.jacinthquay.router.service.peer;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.VmId;
import io.jacinthquay.router.port.UsageCount;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Copies of other routers' usage counters, to be delivered for routers that are gone.
 *
 * <p>Guarded by its own lock, which is a leaf in the lock order.
 */
public final class UsageReplicas {
  /** Maximum number of counters kept; further ones are dropped. */
  private static final int MAX_COUNTS = 100_000;

  private final Map<Key, Replica> replicas = new HashMap<>();

  private record Key(String incarnation, CustomerId customer, String model, long window) {}

  private record Replica(VmId origin, UsageCount count) {}

  /** Stores counters; a larger one replaces a smaller one. */
  public synchronized void store(VmId origin, List<UsageCount> counts) {
    for (UsageCount count : counts) {
      Replica known = replicas.get(key(count));
      boolean larger = known == null || known.count().requests() <= count.requests();
      if (larger && (known != null || replicas.size() < MAX_COUNTS)) {
        replicas.put(key(count), new Replica(origin, count));
      }
    }
  }

  private static Key key(UsageCount count) {
    return new Key(count.incarnation(), count.customer(), count.model(), count.windowStartMillis());
  }

  /** Returns the counters of routers that are gone. */
  public synchronized List<UsageCount> orphaned(Predicate<VmId> isGone) {
    return replicas.values().stream()
        .filter(entry -> isGone.test(entry.origin()))
        .map(Replica::count)
        .toList();
  }

  /** Removes counters that have been delivered. */
  public synchronized void remove(List<UsageCount> counts) {
    counts.forEach(count -> replicas.remove(key(count)));
  }

  /**
   * Removes counters of windows that began before the given time, since their routers have
   * delivered them.
   *
   * @param millis time in milliseconds since the epoch
   * @param isGone tells which routers are gone; their counters are kept
   */
  public synchronized void removeBefore(long millis, Predicate<VmId> isGone) {
    replicas
        .values()
        .removeIf(
            entry -> entry.count().windowStartMillis() < millis && !isGone.test(entry.origin()));
  }
}
