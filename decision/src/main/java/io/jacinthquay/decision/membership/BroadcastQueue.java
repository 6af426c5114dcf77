package io.jacinthquay.decision.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A queue of updates to broadcast, each a bounded number of times, new ones first.
 *
 * @param <K> the subject of an update; a newer update replaces an older one
 */
final class BroadcastQueue<K> {
  private final Map<K, Integer> transmissions = new HashMap<>();
  private final Deque<K> queue = new ArrayDeque<>();

  /** Adds an update, or restarts its transmissions if it is already queued. */
  void add(K key) {
    if (transmissions.put(key, 0) == null) {
      queue.addFirst(key);
    }
  }

  /**
   * Returns the updates for the next message, and counts them as transmitted.
   *
   * @param limit maximum number of updates to return
   * @param maxTransmissions number of times each update is transmitted
   */
  List<K> next(int limit, int maxTransmissions) {
    int count = Math.min(limit, queue.size());
    List<K> chosen = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      chosen.add(queue.pollFirst());
    }
    for (K key : chosen) {
      if (transmissions.merge(key, 1, Integer::sum) >= maxTransmissions) {
        transmissions.remove(key);
      } else {
        queue.addLast(key);
      }
    }
    return chosen;
  }
}
