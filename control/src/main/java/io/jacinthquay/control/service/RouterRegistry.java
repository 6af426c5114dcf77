package io.jacinthquay.control.service;

import io.jacinthquay.decision.dispatch.UpstreamLoad;
import io.jacinthquay.wire.convert.UpstreamMessages;
import io.jacinthquay.wire.gen.CustomerCountMessage;
import io.jacinthquay.wire.gen.PoolDemandMessage;
import io.jacinthquay.wire.gen.RouterReportMessage;
import io.jacinthquay.wire.gen.UpstreamLoadMessage;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.LongSupplier;

/** The last reports of the routers, and their sums. Thread-safe. */
public final class RouterRegistry {
  /**
   * Time without a report after which a router counts as having nothing in flight, in nanoseconds.
   */
  private static final long LOAD_EXPIRY_NANOS = 1_500_000_000L;

  /**
   * Time without a report after which a router has no share of the shared limits, in nanoseconds.
   */
  private static final long MEMBER_EXPIRY_NANOS = 6_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Number of usage windows that are kept. */
  private static final int KEPT_WINDOWS = 16;

  private record LastReport(RouterReportMessage message, String relay, long atNanos) {}

  private final LongSupplier clock;
  private final Map<String, LastReport> routers = new HashMap<>();
  private final TreeMap<Long, Map<String, Map<String, Long>>> countsByWindow = new TreeMap<>();

  /** Returns an empty registry over a monotonic clock in nanoseconds. */
  public RouterRegistry(LongSupplier clock) {
    this.clock = clock;
  }

  /**
   * Records a report.
   *
   * @param relay address of the relay that passed it on; empty if the router called the leader
   */
  public synchronized void recordReport(RouterReportMessage report, String relay) {
    long now = clock.getAsLong();
    routers.put(report.getRouter(), new LastReport(report, relay, now));
    routers.values().removeIf(last -> now - last.atNanos() > MEMBER_EXPIRY_NANOS);
    String source = report.getRouter() + "/" + report.getIncarnation();
    for (CustomerCountMessage count : report.getCounts()) {
      countsByWindow
          .computeIfAbsent(count.getWindow(), window -> new HashMap<>())
          .computeIfAbsent(count.getCustomer(), customer -> new HashMap<>())
          .merge(source, count.getRequests(), Math::max);
    }
    while (countsByWindow.size() > KEPT_WINDOWS) {
      countsByWindow.pollFirstEntry();
    }
  }

  /** Returns the number of routers that share the limits. */
  public synchronized int count() {
    return routers.size();
  }

  /**
   * Returns how many routers come before one in the order by failure domain and name.
   *
   * @param router name of the router; empty to count those of the domains before
   */
  public synchronized int position(String domain, String router) {
    int before = 0;
    for (Map.Entry<String, LastReport> other : routers.entrySet()) {
      int order = other.getValue().message().getDomain().compareTo(domain);
      if (order < 0 || (order == 0 && other.getKey().compareTo(router) < 0)) {
        before++;
      }
    }
    return before;
  }

  /** Returns the load of all routers except one, by upstream. */
  public synchronized Map<String, UpstreamLoad> loadsOfOthers(String router) {
    return loads((name, last) -> !name.equals(router));
  }

  /** Returns the load of all routers except those that report through a relay, by upstream. */
  public synchronized Map<String, UpstreamLoad> loadsExceptVia(String relay) {
    return loads((name, last) -> !last.relay().equals(relay));
  }

  private Map<String, UpstreamLoad> loads(BiPredicate<String, LastReport> included) {
    long now = clock.getAsLong();
    Map<String, UpstreamLoad> loads = new HashMap<>();
    routers.forEach(
        (name, last) -> {
          if (included.test(name, last) && now - last.atNanos() <= LOAD_EXPIRY_NANOS) {
            for (UpstreamLoadMessage load : last.message().getLoads()) {
              loads.merge(load.getUpstream(), UpstreamMessages.toLoad(load), UpstreamLoad::plus);
            }
          }
        });
    return loads;
  }

  /** Returns whether all routers have reported within a time, in milliseconds. */
  public synchronized boolean allReportedWithin(long millis) {
    long earliestNanos = clock.getAsLong() - millis * NANOS_PER_MILLI;
    return routers.values().stream().allMatch(last -> last.atNanos() - earliestNanos >= 0);
  }

  /** Returns the number of requests that began in a window, by customer. */
  public synchronized Map<String, Long> counts(long window) {
    Map<String, Long> sums = new HashMap<>();
    countsByWindow
        .getOrDefault(window, Map.of())
        .forEach(
            (customer, sources) ->
                sums.put(customer, sources.values().stream().mapToLong(n -> n).sum()));
    return sums;
  }

  /**
   * Returns the last demand reports by router and incarnation. Routers that have stopped reporting
   * are left out: the requests that they received meanwhile must not count as a burst at the moment
   * of their return.
   */
  public synchronized Map<String, List<PoolDemandMessage>> demand() {
    long now = clock.getAsLong();
    Map<String, List<PoolDemandMessage>> reports = new HashMap<>();
    routers.forEach(
        (name, last) -> {
          if (now - last.atNanos() <= LOAD_EXPIRY_NANOS) {
            reports.put(name + "/" + last.message().getIncarnation(), last.message().getDemand());
          }
        });
    return reports;
  }
}
