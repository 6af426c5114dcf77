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

/** What routers reported last, summed. */
public final class RouterRegistry {
  /** A router that was silent for this long has nothing under way, in nanoseconds. */
  private static final long LOAD_NANOS = 1_500_000_000L;

  /** A router that was silent for this long no longer takes part in shared bounds. */
  private static final long MEMBER_NANOS = 6_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Usage windows that are kept. */
  private static final int KEPT_WINDOWS = 16;

  private record Heard(RouterReportMessage report, String via, long atNanos) {}

  private final LongSupplier clock;
  private final Map<String, Heard> routers = new HashMap<>();
  private final TreeMap<Long, Map<String, Map<String, Long>>> windows = new TreeMap<>();

  /** Returns an empty registry over a monotonic clock in nanoseconds. */
  public RouterRegistry(LongSupplier clock) {
    this.clock = clock;
  }

  /**
   * Takes in a report.
   *
   * @param via name of the relay that passed it on; empty if none did
   */
  public synchronized void heard(RouterReportMessage report, String via) {
    long now = clock.getAsLong();
    routers.put(report.getRouter(), new Heard(report, via, now));
    routers.values().removeIf(heard -> now - heard.atNanos() > MEMBER_NANOS);
    String source = report.getRouter() + "/" + report.getIncarnation();
    for (CustomerCountMessage count : report.getCounts()) {
      windows
          .computeIfAbsent(count.getWindow(), window -> new HashMap<>())
          .computeIfAbsent(count.getCustomer(), customer -> new HashMap<>())
          .merge(source, count.getRequests(), Math::max);
    }
    while (windows.size() > KEPT_WINDOWS) {
      windows.pollFirstEntry();
    }
  }

  /** Returns how many routers take part. */
  public synchronized int count() {
    return routers.size();
  }

  /** Returns the sum of what all routers but one have under way. */
  public synchronized Map<String, UpstreamLoad> loadsBeside(String router) {
    return loads((name, heard) -> !name.equals(router));
  }

  /** Returns the sum of what all routers have under way that don't report through a relay. */
  public synchronized Map<String, UpstreamLoad> loadsNotVia(String relay) {
    return loads((name, heard) -> !heard.via().equals(relay));
  }

  private Map<String, UpstreamLoad> loads(BiPredicate<String, Heard> counts) {
    long now = clock.getAsLong();
    Map<String, UpstreamLoad> sum = new HashMap<>();
    routers.forEach(
        (name, heard) -> {
          if (counts.test(name, heard) && now - heard.atNanos() <= LOAD_NANOS) {
            for (UpstreamLoadMessage load : heard.report().getLoads()) {
              sum.merge(load.getUpstream(), UpstreamMessages.load(load), UpstreamLoad::plus);
            }
          }
        });
    return sum;
  }

  /** Returns whether all routers that take part were heard within a time, in milliseconds. */
  public synchronized boolean allHeardWithin(long millis) {
    long earliest = clock.getAsLong() - millis * NANOS_PER_MILLI;
    return routers.values().stream().allMatch(heard -> heard.atNanos() - earliest >= 0);
  }

  /** Returns the requests of each customer that began in a window. */
  public synchronized Map<String, Long> counts(long window) {
    Map<String, Long> sums = new HashMap<>();
    windows
        .getOrDefault(window, Map.of())
        .forEach(
            (customer, sources) ->
                sums.put(customer, sources.values().stream().mapToLong(n -> n).sum()));
    return sums;
  }

  /**
   * Returns the latest demand reports by router and incarnation. Routers that are silent are left
   * out: what they were asked for meanwhile is no demand of the moment at which they return.
   */
  public synchronized Map<String, List<PoolDemandMessage>> demand() {
    long now = clock.getAsLong();
    Map<String, List<PoolDemandMessage>> all = new HashMap<>();
    routers.forEach(
        (name, heard) -> {
          if (now - heard.atNanos() <= LOAD_NANOS) {
            all.put(name + "/" + heard.report().getIncarnation(), heard.report().getDemand());
          }
        });
    return all;
  }
}
