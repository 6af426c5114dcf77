package io.jacinthquay.decision.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * News that are still to be passed on, each a bounded number of times, new ones first.
 *
 * @param <K> what the news are about; newer news replace older ones
 */
final class Rumors<K> {
  private final Map<K, Integer> told = new HashMap<>();
  private final Deque<K> order = new ArrayDeque<>();

  /** Starts to pass on news. */
  void add(K key) {
    if (told.put(key, 0) == null) {
      order.addFirst(key);
    }
  }

  /**
   * Returns what to pass on in the next message.
   *
   * @param limit most news to return
   * @param times how often news are passed on at most
   */
  List<K> next(int limit, int times) {
    int count = Math.min(limit, order.size());
    List<K> chosen = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      chosen.add(order.pollFirst());
    }
    for (K key : chosen) {
      if (told.merge(key, 1, Integer::sum) >= times) {
        told.remove(key);
      } else {
        order.addLast(key);
      }
    }
    return chosen;
  }
}
