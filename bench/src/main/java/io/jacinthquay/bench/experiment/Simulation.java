package io.jacinthquay.bench.experiment;

import io.jacinthquay.bench.engine.EngineSettings;
import io.jacinthquay.bench.engine.EventQueue;
import io.jacinthquay.bench.engine.ModelEngine;
import io.jacinthquay.decision.bearing.LoadReport;
import io.jacinthquay.decision.placement.CacheEvent;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UpstreamId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

/** The engines and routers of one run and the simulated network between them. */
final class Simulation {
  static final long NANOS_PER_MILLISECOND = 1_000_000;

  /** One-way delay within and between failure domains, in nanoseconds. */
  static final long NETWORK_NANOS = NANOS_PER_MILLISECOND / 2;

  /** Interval of load reports and cache events, in nanoseconds. */
  private static final long REPORT_INTERVAL_NANOS = 250 * NANOS_PER_MILLISECOND;

  /** Delay until a report reaches the routers, in nanoseconds. */
  private static final long REPORT_LAG_NANOS = 300 * NANOS_PER_MILLISECOND;

  /** Share of cache events that are lost. */
  private static final double EVENT_LOSS_SHARE = 0.05;

  final EventQueue events = new EventQueue();
  final Map<UpstreamId, ModelEngine> engines = new HashMap<>();
  final List<ModelEngine> engineList = new ArrayList<>();
  final List<RouterNode> routers = new ArrayList<>();
  final Scorecard scorecard;
  final SplittableRandom random;
  long usefulTokens;
  private final Set<DomainId> isolatedDomains = new HashSet<>();
  private double engineSeconds;

  Simulation(Scorecard scorecard, SplittableRandom random) {
    this.scorecard = scorecard;
    this.random = random;
  }

  long now() {
    return events.now();
  }

  void addEngine(UpstreamId id, DomainId domain, EngineSettings settings, boolean warm) {
    ModelEngine engine = new ModelEngine(id, domain, settings, events, warm);
    engines.put(id, engine);
    engineList.add(engine);
  }

  /** Starts load reports, cache events and the measurement of the engines' running time. */
  void start() {
    for (ModelEngine engine : engineList) {
      events.after(random.nextLong(REPORT_INTERVAL_NANOS), () -> startReports(engine));
    }
    events.every(1_000 * NANOS_PER_MILLISECOND, this::addEngineSeconds);
  }

  private void addEngineSeconds() {
    engineSeconds += engineList.stream().filter(ModelEngine::isUp).count();
  }

  /** Returns the running time of all engines, in hours. */
  double engineHours() {
    return engineSeconds / 3_600;
  }

  private void startReports(ModelEngine engine) {
    events.every(
        REPORT_INTERVAL_NANOS,
        () -> {
          if (engine.isUp()) {
            publish(engine.domain(), engine.report(), engine.cacheEvent());
          }
        });
  }

  private void publish(DomainId domain, LoadReport report, CacheEvent event) {
    boolean lost = random.nextDouble() < EVENT_LOSS_SHARE;
    events.after(
        REPORT_LAG_NANOS,
        () -> {
          for (RouterNode router : routers) {
            if (isReachable(router.domain(), domain)) {
              router.applyLoadReport(report);
              if (!lost) {
                router.applyCacheEvent(event);
              }
            }
          }
        });
  }

  /** Returns whether two failure domains can exchange messages. */
  boolean isReachable(DomainId a, DomainId b) {
    return a.equals(b) || !isolatedDomains.contains(a) && !isolatedDomains.contains(b);
  }

  /** Isolates a failure domain from the others; attempts across its boundary fail. */
  void isolate(DomainId domain) {
    isolatedDomains.add(domain);
    routers.forEach(RouterNode::failUnreachable);
  }

  /** Ends the isolation of a failure domain. */
  void reconnect(DomainId domain) {
    isolatedDomains.remove(domain);
  }
}
