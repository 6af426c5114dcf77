package io.jacinthquay.bench.experiment;

import io.jacinthquay.bench.engine.EngineSettings;
import io.jacinthquay.bench.engine.ModelEngine;
import io.jacinthquay.bench.report.RunResult;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.VmId;
import java.util.SplittableRandom;

/**
 * Runs one scenario under one strategy.
 *
 * @param scenario what arrives and fails
 * @param strategy how it is routed
 * @param routers number of routers, at least 1
 * @param engines number of engines, at least 1
 * @param seconds time over which arrivals are measured, at least 1
 * @param load load relative to the engines' capacity, above 0
 * @param seed of everything random
 */
record Experiment(
    Scenario scenario,
    Strategy strategy,
    int routers,
    int engines,
    int seconds,
    double load,
    long seed) {
  /** Time before the measurement, in seconds. */
  private static final int WARM_UP_SECONDS = 15;

  /** Time after the last arrival in which answers still count, in seconds. */
  private static final int DRAIN_SECONDS = 60;

  /** Prompt tokens of a request that no cache holds, on average. */
  private static final double MISSED_PROMPT_TOKENS = 300;

  /** Tokens of an answer, on average. */
  private static final double MEAN_OUTPUT_TOKENS = 150;

  /** Price of one engine for an hour. */
  private static final double ENGINE_PRICE = 2.5;

  /** Returns the requests per second that the engines can serve at a full batch. */
  static double capacity(EngineSettings engine, int engines) {
    double token = (double) engine.stepNanos(engine.batchLimit()) / engine.batchLimit();
    double request = MEAN_OUTPUT_TOKENS * token + MISSED_PROMPT_TOKENS * engine.promptTokenNanos();
    return engines * 1e9 / request;
  }

  RunResult run() {
    long from = WARM_UP_SECONDS * Scenario.SECOND;
    long until = from + seconds * Scenario.SECOND;
    SplittableRandom random = new SplittableRandom(seed);
    SplittableRandom arrivals = random.split();
    World world = new World(new Scorecard(from, until), random);
    addEngines(world);
    addRouters(world);
    scenario.schedule(world);
    world.start();
    Workload workload = new Workload(workloadSettings(), arrivals);
    world.events.after(0, () -> arrive(world, workload, arrivals, until));
    world.events.runUntil(until + DRAIN_SECONDS * Scenario.SECOND);
    return result(world);
  }

  private RunResult result(World world) {
    long worked = world.engineList.stream().mapToLong(ModelEngine::workedTokens).sum();
    long breaches = world.engineList.stream().mapToLong(ModelEngine::breaches).sum();
    double cost = world.engineHours() * ENGINE_PRICE;
    Scorecard.Totals totals = new Scorecard.Totals(world.usefulWork, breaches, cost);
    return world.score.result(scenario.text(), strategy.text(), seed, worked, totals);
  }

  private void addEngines(World world) {
    for (int i = 0; i < engines; i++) {
      UpstreamId id = new UpstreamId("engine-" + i);
      world.addEngine(id, Scenario.domain(i % Scenario.DOMAINS), scenario.engines(), true);
    }
  }

  private void addRouters(World world) {
    int batchLimit = scenario.engines().batchLimit();
    for (int i = 0; i < routers; i++) {
      VmId id = new VmId("router-" + i);
      world.routers.add(
          strategy.router(world, id, Scenario.domain(i % Scenario.DOMAINS), routers, batchLimit));
    }
  }

  private WorkloadSettings workloadSettings() {
    double rate = load * capacity(scenario.engines(), engines);
    return scenario.workload(
        new WorkloadSettings(
            rate,
            scenario.burstFactor(),
            Classes.ALL,
            Classes.WEIGHTS,
            Classes.CUSTOMERS,
            8,
            768,
            0.5,
            100,
            1));
  }

  private void arrive(World world, Workload workload, SplittableRandom random, long until) {
    long now = world.now();
    if (now >= until) {
      return;
    }
    SimRequest request = workload.next(now);
    world.score.arrived(request);
    world.routers.get(random.nextInt(world.routers.size())).submit(request);
    world.events.after(workload.gap(now), () -> arrive(world, workload, random, until));
  }
}
