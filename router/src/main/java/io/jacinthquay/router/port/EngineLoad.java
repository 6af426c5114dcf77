package io.jacinthquay.router.port;

/**
 * A load report of an engine.
 *
 * @param measuredNanos latest time at which the load was measured, on the monotonic clock, in
 *     nanoseconds
 * @param running requests that were running, 0 or more
 * @param waiting requests that were queued in the engine, 0 or more
 * @param limit limit of concurrency that the engine states, 1 or more
 * @param warm whether the engine's caches and adapters are loaded
 */
public record EngineLoad(long measuredNanos, int running, int waiting, int limit, boolean warm) {
  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a number is out of range
   */
  public EngineLoad {
    if (running < 0 || waiting < 0 || limit < 1) {
      throw new IllegalArgumentException("running and waiting must be 0 or more, limit 1 or more");
    }
  }
}
