package io.jacinthquay.testkit.engine;

import java.time.Duration;
import java.util.Objects;

/**
 * Options of a fake engine.
 *
 * @param name the name of the engine and of its timer thread
 * @param step the time between two tokens of a sequence
 * @param prefillSteps the steps that the prompt takes before the first token, 0 or more
 * @param limit the concurrency limit once it is warm, in requests, 1 or more
 * @param floor the concurrency limit while it is cold, in requests, 1 or more
 * @param warmAfter the complete responses after which it is warm, 0 or more
 * @param reportLag the age of the load that it reports
 * @param defaultTokens the tokens of a response if the request sets no limit, 1 or more
 * @param ioThreads the threads that serve connections, 1 or more
 */
public record EngineOptions(
    String name,
    Duration step,
    int prefillSteps,
    int limit,
    int floor,
    int warmAfter,
    Duration reportLag,
    int defaultTokens,
    int ioThreads) {
  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a number is out of range
   * @throws NullPointerException if a component is null
   */
  public EngineOptions {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(step, "step");
    Objects.requireNonNull(reportLag, "reportLag");
    if (prefillSteps < 0 || limit < 1 || floor < 1 || warmAfter < 0) {
      throw new IllegalArgumentException("prefillSteps, limit, floor or warmAfter is out of range");
    }
    if (defaultTokens < 1 || ioThreads < 1) {
      throw new IllegalArgumentException("defaultTokens and ioThreads must be 1 or more");
    }
  }

  /** Returns the options of a fast engine that is warm at its start. */
  public static EngineOptions quick(String name) {
    return new EngineOptions(
        name, Duration.ofMillis(1), 0, 64, 64, 0, Duration.ofMillis(100), 8, 1);
  }

  /** Returns these options with another time between tokens. */
  public EngineOptions withStep(Duration newStep) {
    return new EngineOptions(
        name, newStep, prefillSteps, limit, floor, warmAfter, reportLag, defaultTokens, ioThreads);
  }

  /** Returns these options with other limits. */
  public EngineOptions withLimits(int newLimit, int newFloor, int newWarmAfter) {
    return new EngineOptions(
        name,
        step,
        prefillSteps,
        newLimit,
        newFloor,
        newWarmAfter,
        reportLag,
        defaultTokens,
        ioThreads);
  }

  /** Returns these options with another number of I/O threads. */
  public EngineOptions withIoThreads(int threads) {
    return new EngineOptions(
        name, step, prefillSteps, limit, floor, warmAfter, reportLag, defaultTokens, threads);
  }
}
