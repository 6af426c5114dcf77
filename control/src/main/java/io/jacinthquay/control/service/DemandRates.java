package io.jacinthquay.control.service;

import io.jacinthquay.decision.scaling.PoolLoad;
import io.jacinthquay.decision.scaling.ServiceQuality;
import io.jacinthquay.wire.gen.PoolDemandMessage;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Computes the demand rates of one pool from the cumulative sums that routers report. */
final class DemandRates {
  /**
   * Length of the window over which rates are computed, in nanoseconds; short, so that the rates
   * follow a burst at once.
   */
  private static final long WINDOW_NANOS = 1_500_000_000L;

  private record Sample(long atNanos, Map<String, PoolDemandMessage> byRouter) {}

  private final Deque<Sample> samples = new ArrayDeque<>();

  /**
   * Records the sums of one pool.
   *
   * @param reports demand by router and incarnation
   * @param now monotonic time of the reports, in nanoseconds
   */
  void record(String pool, Map<String, List<PoolDemandMessage>> reports, long now) {
    Map<String, PoolDemandMessage> byRouter = new HashMap<>();
    reports.forEach(
        (router, demands) ->
            demands.stream()
                .filter(demand -> demand.getPool().equals(pool))
                .forEach(demand -> byRouter.put(router, demand)));
    samples.addLast(new Sample(now, byRouter));
    while (samples.size() > 2 && now - samples.peekFirst().atNanos() > WINDOW_NANOS) {
      samples.pollFirst();
    }
  }

  /**
   * Returns the load of the pool.
   *
   * @param inFlight requests that run at upstreams
   * @param promptTokens prompt tokens that are sent and not prefilled yet
   */
  PoolLoad load(int inFlight, long promptTokens) {
    Sample oldest = samples.peekFirst();
    Sample newest = samples.peekLast();
    double seconds = Math.max(0.2, (newest.atNanos() - oldest.atNanos()) / 1e9);
    long promptTokenSum = 0;
    long requests = 0;
    int waiting = 0;
    for (var entry : newest.byRouter().entrySet()) {
      PoolDemandMessage before = oldest.byRouter().get(entry.getKey());
      waiting += entry.getValue().getWaiting();
      if (before != null) {
        promptTokenSum += entry.getValue().getPromptTokens() - before.getPromptTokens();
        requests += entry.getValue().getRequests() - before.getRequests();
      }
    }
    return new PoolLoad(
        inFlight, waiting, promptTokens, promptTokenSum / seconds, requests / seconds);
  }

  /**
   * Returns what callers of the pool got within the window.
   *
   * @param waitingTokens prompt tokens of requests queued at routers
   */
  ServiceQuality quality(long waitingTokens) {
    Sample oldest = samples.peekFirst();
    Sample newest = samples.peekLast();
    long requests = 0;
    long missed = 0;
    for (var entry : newest.byRouter().entrySet()) {
      PoolDemandMessage before = oldest.byRouter().get(entry.getKey());
      if (before != null) {
        PoolDemandMessage after = entry.getValue();
        requests += after.getRequests() - before.getRequests();
        missed += after.getLate() - before.getLate() + after.getRefused() - before.getRefused();
      }
    }
    return new ServiceQuality(newest.byRouter().size(), requests, missed, waitingTokens);
  }
}
