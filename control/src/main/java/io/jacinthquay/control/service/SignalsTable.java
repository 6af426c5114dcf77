package io.jacinthquay.control.service;

import io.jacinthquay.decision.cluster.RouterSignals;
import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;

/** The last signals of each router and their sums. Thread-safe. */
public final class SignalsTable {
  /**
   * Time for which a sum over all routers is reused, in nanoseconds; hundreds of routers would
   * otherwise have it computed anew for each exchange.
   */
  private static final long SUM_REUSE_NANOS = 100_000_000L;

  private record Entry(RouterSignals signals, String relay, long atNanos) {}

  private final LongSupplier clock;
  private final Map<String, Entry> entries = new HashMap<>();
  private Map<String, Entry> summed = Map.of();
  private RouterSignals sum = RouterSignals.NONE;
  private long summedNanos;
  private boolean hasSum;

  /** Returns an empty table over a monotonic clock in nanoseconds. */
  public SignalsTable(LongSupplier clock) {
    this.clock = clock;
  }

  /**
   * Replaces the signals of a router.
   *
   * @param relay address of the relay that passed them on; empty if the router called directly
   */
  public synchronized void record(String router, String relay, RouterSignals signals) {
    entries.put(router, new Entry(signals, relay, clock.getAsLong()));
  }

  /** Returns the sum over all routers. */
  public synchronized RouterSignals all() {
    long now = clock.getAsLong();
    if (!hasSum || now - summedNanos >= SUM_REUSE_NANOS) {
      entries.values().removeIf(entry -> now - entry.atNanos() > RouterSignals.EXPIRY_NANOS);
      summed = Map.copyOf(entries);
      sum = RouterSignals.NONE;
      summed.values().forEach(entry -> sum = sum.plus(entry.signals()));
      summedNanos = now;
      hasSum = true;
    }
    return sum;
  }

  /** Returns the sum over all routers except one. */
  public synchronized RouterSignals ofOthers(String router) {
    RouterSignals all = all();
    Entry own = summed.get(router);
    return own == null ? all : all.minus(own.signals());
  }

  /** Returns the sum over all routers except those that report through a relay. */
  public synchronized RouterSignals exceptVia(String relay) {
    RouterSignals rest = all();
    for (Entry entry : summed.values()) {
      if (entry.relay().equals(relay)) {
        rest = rest.minus(entry.signals());
      }
    }
    return rest;
  }
}
