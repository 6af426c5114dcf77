package io.jacinthquay.control.service;

import io.jacinthquay.decision.scaling.PoolLoad;
import io.jacinthquay.wire.gen.PoolDemandMessage;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Turns the routers' growing sums into rates over the last seconds. */
final class DemandRates {
  /** Time over which rates are taken; short, so that a burst shows at once. */
  private static final long SPAN_NANOS = 1_500_000_000L;

  private record Sums(long atNanos, Map<String, PoolDemandMessage> byRouter) {}

  private final Deque<Sums> history = new ArrayDeque<>();

  /** Takes in the sums of one pool by router run. */
  void read(String pool, Map<String, List<PoolDemandMessage>> reports, long now) {
    Map<String, PoolDemandMessage> sums = new HashMap<>();
    reports.forEach(
        (router, demands) ->
            demands.stream()
                .filter(demand -> demand.getPool().equals(pool))
                .forEach(demand -> sums.put(router, demand)));
    history.addLast(new Sums(now, sums));
    while (history.size() > 2 && now - history.peekFirst().atNanos() > SPAN_NANOS) {
      history.pollFirst();
    }
  }

  /** Returns the load of the pool. */
  PoolLoad load(int inFlight, long promptTokens) {
    Sums first = history.peekFirst();
    Sums last = history.peekLast();
    double seconds = Math.max(0.2, (last.atNanos() - first.atNanos()) / 1e9);
    long prompt = 0;
    long requests = 0;
    int waiting = 0;
    for (var entry : last.byRouter().entrySet()) {
      PoolDemandMessage before = first.byRouter().get(entry.getKey());
      waiting += entry.getValue().getWaiting();
      if (before != null) {
        prompt += entry.getValue().getPromptTokens() - before.getPromptTokens();
        requests += entry.getValue().getRequests() - before.getRequests();
      }
    }
    return new PoolLoad(inFlight, waiting, promptTokens, prompt / seconds, requests / seconds);
  }
}
