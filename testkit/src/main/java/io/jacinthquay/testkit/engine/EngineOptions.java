package io.jacinthquay.testkit.engine;

import java.time.Duration;
import java.util.Objects;

/**
 * How a fake engine behaves.
 *
 * @param name names it in load reports
 * @param step time from one token of a batch to the next
 * @param prefill steps that the prompt takes before the first token, 0 or more
 * @param limit requests that it can run at one time when it is warm, 1 or more
 * @param floor the same just after its start, 1 or more
 * @param warmAfter whole answers after which it is warm
 * @param reportLag age of the load that it reports
 * @param defaultTokens tokens of an answer whose request names no limit, 1 or more
 * @param ioThreads threads that serve connections, 1 or more
 */
public record EngineOptions(
    String name,
    Duration step,
    int prefill,
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
   * @throws NullPointerException if a part is missing
   */
  public EngineOptions {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(step, "step");
    Objects.requireNonNull(reportLag, "reportLag");
    if (prefill < 0 || limit < 1 || floor < 1 || warmAfter < 0) {
      throw new IllegalArgumentException("a size is out of range");
    }
    if (defaultTokens < 1 || ioThreads < 1) {
      throw new IllegalArgumentException("defaultTokens and ioThreads must be 1 or more");
    }
  }

  /** Returns a quick engine that is warm at once. */
  public static EngineOptions quick(String name) {
    return new EngineOptions(
        name, Duration.ofMillis(1), 0, 64, 64, 0, Duration.ofMillis(100), 8, 1);
  }

  /** Returns these options with another time between tokens. */
  public EngineOptions withStep(Duration newStep) {
    return new EngineOptions(
        name, newStep, prefill, limit, floor, warmAfter, reportLag, defaultTokens, ioThreads);
  }

  /** Returns these options with other limits. */
  public EngineOptions withLimits(int newLimit, int newFloor, int newWarmAfter) {
    return new EngineOptions(
        name, step, prefill, newLimit, newFloor, newWarmAfter, reportLag, defaultTokens, ioThreads);
  }

  /** Returns these options with another number of I/O threads. */
  public EngineOptions withIoThreads(int threads) {
    return new EngineOptions(
        name, step, prefill, limit, floor, warmAfter, reportLag, defaultTokens, threads);
  }
}
