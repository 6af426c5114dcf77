package io.jacinthquay.router.adapter.http;

import java.net.InetAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Bounds what all connections hold in sum and decides which to give up beyond that: those of the
 * address that holds most, the connection first that has held something for longest.
 *
 * <p>For use by any thread.
 *
 * @param <C> connections
 */
final class FairBound<C> {
  private final long max;
  private final Map<InetAddress, Holders<C>> byAddress = new HashMap<>();
  private long held;
  private long givenUp;

  private static final class Holders<C> {
    /** What each connection holds, by the time since when it has held something. */
    private final Map<C, Long> connections = new LinkedHashMap<>();

    private long held;

    private long held() {
      return held;
    }
  }

  /** Returns an empty count with a bound, for example in bytes. */
  FairBound(long max) {
    this.max = max;
  }

  /**
   * Sets how much a connection holds.
   *
   * @return connections to close, which are no longer counted; the given one may be among them
   */
  synchronized List<C> hold(InetAddress address, C connection, long amount) {
    Holders<C> holders = byAddress.computeIfAbsent(address, a -> new Holders<>());
    Long before = holders.connections.put(connection, amount);
    long added = amount - (before == null ? 0 : before);
    holders.held += added;
    held += added;
    List<C> excess = new ArrayList<>();
    while (held > max) {
      excess.add(giveUpOne());
    }
    return excess;
  }

  private C giveUpOne() {
    Map.Entry<InetAddress, Holders<C>> largest =
        byAddress.entrySet().stream()
            .max(Comparator.comparingLong(entry -> entry.getValue().held()))
            .orElseThrow();
    C oldest = largest.getValue().connections.keySet().iterator().next();
    release(largest.getKey(), oldest);
    givenUp++;
    return oldest;
  }

  /** Records that a connection holds nothing any more. */
  synchronized void release(InetAddress address, C connection) {
    Holders<C> holders = byAddress.get(address);
    Long amount = holders == null ? null : holders.connections.remove(connection);
    if (amount == null) {
      return;
    }
    held -= amount;
    holders.held -= amount;
    if (holders.connections.isEmpty()) {
      byAddress.remove(address);
    }
  }

  /** Returns how much all connections hold. */
  synchronized long held() {
    return held;
  }

  /** Returns the number of connections given up so far. */
  synchronized long givenUp() {
    return givenUp;
  }
}
