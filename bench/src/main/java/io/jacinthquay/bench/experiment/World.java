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

/** The engines and routers of one run, and what lies between them. */
final class World {
  static final long MILLISECOND = 1_000_000;

  /** One-way delay within and between failure domains, in nanoseconds. */
  static final long NETWORK_NANOS = MILLISECOND / 2;

  /** Interval and lag of load reports and cache events, in nanoseconds. */
  private static final long REPORT_NANOS = 250 * MILLISECOND;

  private static final long REPORT_LAG_NANOS = 300 * MILLISECOND;
  private static final double EVENT_LOSS = 0.05;

  final EventQueue events = new EventQueue();
  final Map<UpstreamId, ModelEngine> engines = new HashMap<>();
  final List<ModelEngine> engineList = new ArrayList<>();
  final List<RouterNode> routers = new ArrayList<>();
  final Scorecard score;
  final SplittableRandom random;
  long usefulWork;
  private final Set<DomainId> cutOff = new HashSet<>();
  private double engineSeconds;

  World(Scorecard score, SplittableRandom random) {
    this.score = score;
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

  /** Starts load reports, cache events and the count of running time. */
  void start() {
    for (ModelEngine engine : engineList) {
      events.after(random.nextLong(REPORT_NANOS), () -> startReports(engine));
    }
    events.every(1_000 * MILLISECOND, this::countRunning);
  }

  private void countRunning() {
    engineSeconds += engineList.stream().filter(ModelEngine::isUp).count();
  }

  double engineHours() {
    return engineSeconds / 3_600;
  }

  private void startReports(ModelEngine engine) {
    events.every(
        REPORT_NANOS,
        () -> {
          if (engine.isUp()) {
            publish(engine.domain(), engine.report(), engine.cacheEvent());
          }
        });
  }

  private void publish(DomainId domain, LoadReport report, CacheEvent event) {
    boolean lost = random.nextDouble() < EVENT_LOSS;
    events.after(
        REPORT_LAG_NANOS,
        () -> {
          for (RouterNode router : routers) {
            if (reachable(router.domain(), domain)) {
              router.loadReport(report);
              if (!lost) {
                router.cacheEvent(event);
              }
            }
          }
        });
  }

  boolean reachable(DomainId a, DomainId b) {
    return a.equals(b) || !cutOff.contains(a) && !cutOff.contains(b);
  }

  /** Cuts a failure domain off from the others; what runs across the cut breaks. */
  void cutOff(DomainId domain) {
    cutOff.add(domain);
    routers.forEach(RouterNode::breakUnreachable);
  }

  void reconnect(DomainId domain) {
    cutOff.remove(domain);
  }
}
