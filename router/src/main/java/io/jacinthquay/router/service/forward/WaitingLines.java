package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.cluster.RouterSignals;
import io.jacinthquay.decision.cluster.WaitingWork;
import io.jacinthquay.decision.dispatch.PoolRequest;
import io.jacinthquay.decision.dispatch.UpstreamLoad;
import io.jacinthquay.decision.dispatch.UpstreamSelector;
import io.jacinthquay.decision.dispatch.UpstreamState;
import io.jacinthquay.decision.waiting.SharedLine;
import io.jacinthquay.decision.waiting.TierLine;
import io.jacinthquay.decision.waiting.WaitingLine;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.UpstreamId;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/** The queues of all pools; shared by all routers where rates are learned. */
final class WaitingLines {
  /**
   * Tokens that count for a plain call; its 50 to 60 ms of a slot compare with the prefill of a
   * prompt of this length.
   */
  private static final int TOKENS_PER_CALL = 2_000;

  private final boolean shared;
  private final UpstreamSelector selector;
  private final Predicate<PoolName> hasEngines;
  private final ForwardMetrics metrics;
  private final OtherRouters others;
  private final Map<PoolName, WaitingLine<ForwardExchange>> lines = new HashMap<>();
  private final Map<PoolName, LearnedPoolView> views = new HashMap<>();
  private final Map<WaitingWork.Key, Gauges> gauges = new HashMap<>();

  private static final class Gauges {
    volatile long requests;
    volatile long waitMillis;
  }

  /**
   * Returns empty queues.
   *
   * @param hasEngines whether the upstreams of a pool are model engines
   */
  WaitingLines(
      boolean shared,
      UpstreamSelector selector,
      Predicate<PoolName> hasEngines,
      ForwardMetrics metrics,
      long now) {
    this.shared = shared;
    this.selector = selector;
    this.hasEngines = hasEngines;
    this.metrics = metrics;
    this.others = new OtherRouters(now);
  }

  /** Returns the queue of a pool. */
  WaitingLine<ForwardExchange> line(PoolName pool) {
    return lines.computeIfAbsent(pool, this::newLine);
  }

  private WaitingLine<ForwardExchange> newLine(PoolName pool) {
    return shared ? new SharedLine<>(view(pool)) : new TierLine<>();
  }

  private LearnedPoolView view(PoolName pool) {
    return views.computeIfAbsent(
        pool, name -> new LearnedPoolView(name, hasEngines.test(name), selector, others));
  }

  /** Returns all queues. */
  Collection<WaitingLine<ForwardExchange>> lines() {
    return lines.values();
  }

  /** Returns whether a request waits. */
  boolean isAnyWaiting() {
    return lines.values().stream().anyMatch(line -> !line.isEmpty());
  }

  /** Sets the number of routers, this one included, and the sum of what the others report. */
  void updateOthers(int count, RouterSignals signals, long now) {
    others.update(count, signals, now);
  }

  /**
   * Returns the load of the other routers as far as it may rule out an upstream. Plain calls take
   * less time than a report is old, so that a report can't tell that all slots of an upstream are
   * in use now; each router may send one call there, which the upstream rejects if it is full.
   */
  Map<UpstreamId, UpstreamLoad> withoutStaleLimits(Map<UpstreamId, UpstreamLoad> loads) {
    if (!shared) {
      return loads;
    }
    Map<UpstreamId, UpstreamLoad> changed = new HashMap<>(loads);
    for (UpstreamState state : selector.states()) {
      int most = state.listing().slots() - 1;
      if (!hasEngines.test(state.listing().pool())) {
        changed.computeIfPresent(
            state.listing().upstream(),
            (id, load) ->
                new UpstreamLoad(
                    Math.min(most, load.inFlight()),
                    load.promptTokens(),
                    load.memoryTokens(),
                    load.pauseSensitivity()));
      }
    }
    return changed;
  }

  /** Records that the answer to a request began. */
  void recordServed(Optional<CustomerId> customer, PoolRequest work, long now) {
    if (shared && customer.isPresent()) {
      int tokens = work.ownTokens() + work.outputTokens();
      others.served().record(customer.get(), tokens == 0 ? TOKENS_PER_CALL : tokens, now);
    }
  }

  /** Records how long a served request held its slot, in milliseconds. */
  void recordHold(PoolName pool, double millis) {
    if (shared) {
      view(pool).recordHold(millis);
    }
  }

  /** Adds what this router tells the others about its queues and customers. */
  RouterSignals signals(RouterSignals evidence, long now) {
    return new RouterSignals(evidence.evidence(), work(), others.served().report(now));
  }

  private Map<WaitingWork.Key, WaitingWork> work() {
    Map<WaitingWork.Key, WaitingWork> work = new HashMap<>();
    lines.values().forEach(line -> work.putAll(line.work()));
    return work;
  }

  /** Counts a rejected request. */
  void countRejection(PoolName pool, String reason) {
    if (shared) {
      metrics.countRejection(pool.value(), reason);
    }
  }

  /** Updates the metrics of the queues. */
  void updateMetrics(long now) {
    if (!shared) {
      return;
    }
    Map<WaitingWork.Key, WaitingWork> work = work();
    work.keySet().forEach(this::gauges);
    gauges.forEach(
        (key, gauge) -> {
          gauge.requests = work.getOrDefault(key, WaitingWork.NONE).requests();
          gauge.waitMillis = Math.round(line(key.pool()).waitMillis(key.tier(), now));
        });
  }

  private Gauges gauges(WaitingWork.Key key) {
    return gauges.computeIfAbsent(key, this::newGauges);
  }

  private Gauges newGauges(WaitingWork.Key key) {
    Gauges gauge = new Gauges();
    metrics.gauge(label("jq_forward_waiting", key.pool(), key.tier()), () -> gauge.requests);
    metrics.gauge(
        label("jq_forward_estimated_wait_milliseconds", key.pool(), key.tier()),
        () -> gauge.waitMillis);
    return gauge;
  }

  private static String label(String name, PoolName pool, Tier tier) {
    return name + "{pool=\"" + pool.value() + "\",tier=\"" + tier.value() + "\"}";
  }
}
