package io.jacinthquay.router.service.forward;

import io.jacinthquay.model.CustomerId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Counts requests whose answer began, by window of the wall clock and by customer. */
final class WindowedUsage {
  /** Number of windows that are kept and reported again, so that a new leader gets them too. */
  private static final int KEPT_WINDOWS = 6;

  private final Optional<Duration> window;
  private final TreeMap<Long, Map<CustomerId, Long>> windows = new TreeMap<>();

  /** Returns counts without requests; nothing is counted if there is no window. */
  WindowedUsage(Optional<Duration> window) {
    this.window = window;
  }

  void countRequest(CustomerId customer, long wallMillis) {
    if (window.isEmpty()) {
      return;
    }
    long number = Math.floorDiv(wallMillis, window.get().toMillis());
    windows.computeIfAbsent(number, key -> new HashMap<>()).merge(customer, 1L, Long::sum);
    while (windows.size() > KEPT_WINDOWS) {
      windows.pollFirstEntry();
    }
  }

  Map<Long, Map<CustomerId, Long>> counts() {
    Map<Long, Map<CustomerId, Long>> copy = new HashMap<>();
    windows.forEach((number, counts) -> copy.put(number, Map.copyOf(counts)));
    return copy;
  }
}
