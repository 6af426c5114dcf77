package io.jacinthquay.decision.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Bounded priority queue of requests that wait for capacity in one pool.
 *
 * <p>Handles bursts beyond capacity: higher tiers come first, earlier arrivals first within a tier.
 * A request that has waited too long is rejected, so that its caller can still retry in time.
 *
 * @param <T> type of the queued items
 */
public final class RequestQueue<T> {
  /** Most requests queued at one router; more would miss their targets anyway. */
  private static final int MAX_WAITING = 64;

  private record Entry<T>(T item, PoolRequest work, long sequence, long expiryNanos) {}

  private final TreeSet<Entry<T>> entries =
      new TreeSet<>(
          Comparator.comparingInt((Entry<T> entry) -> entry.work().tier().value())
              .thenComparingLong(Entry::sequence));
  private long sequence;

  /** Returns whether the queue is empty. */
  public boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Returns the number of queued requests. */
  public int size() {
    return entries.size();
  }

  /**
   * Adds a request.
   *
   * @param expiryNanos when it expires, on the monotonic clock
   * @param displaced receives the request of a lower tier that this one replaces, if any
   * @return false if the queue is full and holds no request of a lower tier
   */
  public boolean add(T item, PoolRequest work, long expiryNanos, List<T> displaced) {
    if (entries.size() >= MAX_WAITING) {
      Entry<T> lowest = entries.last();
      if (!work.tier().isHigherThan(lowest.work().tier())) {
        return false;
      }
      entries.remove(lowest);
      displaced.add(lowest.item());
    }
    entries.add(new Entry<>(item, work, sequence++, expiryNanos));
    return true;
  }

  /** Removes a request, such as one whose caller disconnected. */
  public void remove(T item) {
    entries.removeIf(entry -> entry.item() == item);
  }

  /** Removes and returns the expired requests. */
  public List<T> expired(long now) {
    List<T> expired = new ArrayList<>();
    entries.removeIf(
        entry -> {
          boolean isOver = now - entry.expiryNanos() >= 0;
          if (isOver) {
            expired.add(entry.item());
          }
          return isOver;
        });
    return expired;
  }

  /** Offers capacity to the requests in order and removes those that accept it. */
  public void offer(Predicate<T> accepts) {
    for (Entry<T> entry : new ArrayList<>(entries)) {
      if (accepts.test(entry.item())) {
        entries.remove(entry);
      } else if (!entry.work().hasPlacementPreference()) {
        return;
      }
    }
  }
}
