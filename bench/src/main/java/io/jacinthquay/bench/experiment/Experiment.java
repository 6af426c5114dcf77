package io.jacinthquay.bench.experiment;

import io.jacinthquay.bench.engine.EngineSettings;
import io.jacinthquay.bench.engine.ModelEngine;
import io.jacinthquay.bench.report.RunResult;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.VmId;
import java.util.SplittableRandom;

/**
 * Simulates one scenario under one strategy.
 *
 * @param scenario the arrivals and faults
 * @param strategy how requests are routed
 * @param routers number of routers, at least 1
 * @param engines number of engines, at least 1
 * @param seconds measured period in seconds, at least 1
 * @param load load relative to the engines' capacity, above 0
 * @param seed seed of all random numbers
 */
record Experiment(
    Scenario scenario,
    Strategy strategy,
    int routers,
    int engines,
    int seconds,
    double load,
    long seed) {
  /** Time before the measured period, in seconds. */
  private static final int WARM_UP_SECONDS = 15;

  /** Time after the last arrival in which responses still count, in seconds. */
  private static final int DRAIN_SECONDS = 60;

  /** Mean prompt tokens of a request that are not in a prefix cache. */
  private static final double MISSED_PROMPT_TOKENS = 300;

  /** Mean output tokens of a request. */
  private static final double MEAN_OUTPUT_TOKENS = 150;

  /** Price of one engine for one hour. */
  private static final double ENGINE_PRICE_PER_HOUR = 2.5;

  /** Returns the requests per second that the engines can serve with full batches. */
  static double capacity(EngineSettings engine, int engines) {
    double tokenNanos = (double) engine.stepNanos(engine.batchLimit()) / engine.batchLimit();
    double requestNanos =
        MEAN_OUTPUT_TOKENS * tokenNanos + MISSED_PROMPT_TOKENS * engine.promptTokenNanos();
    return engines * 1e9 / requestNanos;
  }

  /** Runs the simulation and returns its result. */
  RunResult run() {
    long from = WARM_UP_SECONDS * Scenario.NANOS_PER_SECOND;
    long until = from + seconds * Scenario.NANOS_PER_SECOND;
    SplittableRandom random = new SplittableRandom(seed);
    SplittableRandom arrivals = random.split();
    Simulation simulation = new Simulation(new Scorecard(from, until), random);
    addEngines(simulation);
    addRouters(simulation);
    scenario.scheduleFaults(simulation);
    simulation.start();
    Workload workload = new Workload(workloadSettings(), arrivals);
    simulation.events.after(0, () -> submitNext(simulation, workload, arrivals, until));
    simulation.events.runUntil(until + DRAIN_SECONDS * Scenario.NANOS_PER_SECOND);
    return result(simulation);
  }

  private RunResult result(Simulation simulation) {
    long computedTokens =
        simulation.engineList.stream().mapToLong(ModelEngine::computedTokens).sum();
    long breaches = simulation.engineList.stream().mapToLong(ModelEngine::breaches).sum();
    double cost = simulation.engineHours() * ENGINE_PRICE_PER_HOUR;
    Scorecard.Totals totals = new Scorecard.Totals(simulation.usefulTokens, breaches, cost);
    return simulation.scorecard.result(
        scenario.commandLineName(), strategy.commandLineName(), seed, computedTokens, totals);
  }

  private void addEngines(Simulation simulation) {
    for (int i = 0; i < engines; i++) {
      UpstreamId id = new UpstreamId("engine-" + i);
      simulation.addEngine(
          id, Scenario.domain(i % Scenario.DOMAINS), scenario.engineSettings(), true);
    }
  }

  private void addRouters(Simulation simulation) {
    int batchLimit = scenario.engineSettings().batchLimit();
    for (int i = 0; i < routers; i++) {
      VmId id = new VmId("router-" + i);
      simulation.routers.add(
          strategy.router(
              simulation, id, Scenario.domain(i % Scenario.DOMAINS), routers, batchLimit));
    }
  }

  private WorkloadSettings workloadSettings() {
    double rate = load * capacity(scenario.engineSettings(), engines);
    return scenario.workload(
        new WorkloadSettings(
            rate,
            scenario.burstFactor(),
            Classes.ALL,
            Classes.CLASS_WEIGHTS,
            Classes.CUSTOMER_WEIGHTS,
            8,
            768,
            0.5,
            100,
            1));
  }

  /** Submits the next request to a random router and schedules the one after it. */
  private void submitNext(
      Simulation simulation, Workload workload, SplittableRandom random, long until) {
    long now = simulation.now();
    if (now >= until) {
      return;
    }
    SimRequest request = workload.next(now);
    simulation.scorecard.recordArrival(request);
    simulation.routers.get(random.nextInt(simulation.routers.size())).submit(request);
    simulation.events.after(
        workload.gap(now), () -> submitNext(simulation, workload, random, until));
  }
}
