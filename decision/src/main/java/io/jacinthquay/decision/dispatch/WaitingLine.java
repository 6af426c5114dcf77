package io.jacinthquay.decision.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Requests that wait for a free place of one pool.
 *
 * <p>Answers the load of a burst beyond capacity: higher tiers go first, within a tier the request
 * that arrived first. A request whose time to wait is over is turned away, so that its caller can
 * return while there is still time.
 *
 * @param <T> what waits
 */
public final class WaitingLine<T> {
  /** Most requests that wait at one router; more would be turned away after their target anyway. */
  private static final int MOST_WAITING = 64;

  private record Place<T>(T item, Work work, long sequence, long giveUpNanos) {}

  private final TreeSet<Place<T>> places =
      new TreeSet<>(
          Comparator.comparingInt((Place<T> place) -> place.work().tier().value())
              .thenComparingLong(Place::sequence));
  private long sequence;

  /** Returns whether nobody waits. */
  public boolean isEmpty() {
    return places.isEmpty();
  }

  /** Returns how many wait. */
  public int size() {
    return places.size();
  }

  /**
   * Adds a request.
   *
   * @param giveUpNanos when it is turned away, on the monotonic clock
   * @return false if too many wait and none of them has a lower rank
   */
  public boolean add(T item, Work work, long giveUpNanos, List<T> displaced) {
    if (places.size() >= MOST_WAITING) {
      Place<T> last = places.last();
      if (!work.tier().isHigherThan(last.work().tier())) {
        return false;
      }
      places.remove(last);
      displaced.add(last.item());
    }
    places.add(new Place<>(item, work, sequence++, giveUpNanos));
    return true;
  }

  /** Removes a request whose caller left. */
  public void remove(T item) {
    places.removeIf(place -> place.item() == item);
  }

  /** Removes and returns the requests whose time to wait is over. */
  public List<T> expired(long now) {
    List<T> over = new ArrayList<>();
    places.removeIf(
        place -> {
          boolean late = now - place.giveUpNanos() >= 0;
          if (late) {
            over.add(place.item());
          }
          return late;
        });
    return over;
  }

  /** Offers places in order; those whose offer is taken leave the line. */
  public void offer(Predicate<T> taken) {
    for (Place<T> place : new ArrayList<>(places)) {
      if (taken.test(place.item())) {
        places.remove(place);
      } else if (place.work().parts().isEmpty()) {
        return;
      }
    }
  }
}
