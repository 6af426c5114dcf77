package io.jacinthquay.router.service.peer;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.VmId;
import io.jacinthquay.router.port.UsageCount;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Copies of the usage counters of other routers, delivered for those that are gone.
 *
 * <p>Guarded by its own lock, which is a leaf in the lock order.
 */
public final class HeldUsage {
  private static final int MAX_COUNTS = 100_000;

  private final Map<Key, Held> held = new HashMap<>();

  private record Key(String incarnation, CustomerId customer, String model, long window) {}

  private record Held(VmId origin, UsageCount count) {}

  /** Keeps counters; a larger one replaces a smaller one. */
  public synchronized void keep(VmId origin, List<UsageCount> counts) {
    for (UsageCount count : counts) {
      Held known = held.get(key(count));
      boolean larger = known == null || known.count().requests() <= count.requests();
      if (larger && (known != null || held.size() < MAX_COUNTS)) {
        held.put(key(count), new Held(origin, count));
      }
    }
  }

  private static Key key(UsageCount count) {
    return new Key(count.incarnation(), count.customer(), count.model(), count.windowStartMillis());
  }

  /** Returns the counters of routers that are gone. */
  public synchronized List<UsageCount> orphaned(Predicate<VmId> isGone) {
    return held.values().stream()
        .filter(entry -> isGone.test(entry.origin()))
        .map(Held::count)
        .toList();
  }

  /** Forgets counters that are safe now. */
  public synchronized void delivered(List<UsageCount> counts) {
    counts.forEach(count -> held.remove(key(count)));
  }

  /** Forgets counters of windows that began before a time; their routers delivered them. */
  public synchronized void forgetBefore(long millis, Predicate<VmId> isGone) {
    held.values()
        .removeIf(
            entry -> entry.count().windowStartMillis() < millis && !isGone.test(entry.origin()));
  }
}
