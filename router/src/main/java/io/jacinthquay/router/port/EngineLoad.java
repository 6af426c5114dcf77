package io.jacinthquay.router.port;

/**
 * What an engine reported of its load.
 *
 * @param takenNanos when it was measured at the latest, on the monotonic clock
 * @param running requests that it ran, 0 or more
 * @param waiting requests that it held back, 0 or more
 * @param limit most requests at a time that it says it can serve, 1 or more
 * @param warm whether its caches and adapters are loaded
 */
public record EngineLoad(long takenNanos, int running, int waiting, int limit, boolean warm) {
  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a number is out of range
   */
  public EngineLoad {
    if (running < 0 || waiting < 0 || limit < 1) {
      throw new IllegalArgumentException("a load report has a number out of range");
    }
  }
}
