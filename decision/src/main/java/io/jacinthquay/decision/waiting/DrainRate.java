package io.jacinthquay.decision.waiting;

import io.jacinthquay.decision.cluster.WaitingWork;

/**
 * How fast the upstreams of a pool take work from all routers. The scarcer of the two limits holds:
 * prompts that are read, or slots that become free.
 *
 * @param tokensPerMilli prompt tokens per millisecond, above 0; infinite for plain services
 * @param requestsPerMilli requests per millisecond, above 0
 */
public record DrainRate(double tokensPerMilli, double requestsPerMilli) {
  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a rate is not above 0
   */
  public DrainRate {
    if (!(tokensPerMilli > 0) || !(requestsPerMilli > 0)) {
      throw new IllegalArgumentException("rates must be above 0");
    }
  }

  /** Returns how long the upstreams need to take some work, in milliseconds. */
  public double millis(WaitingWork work) {
    return Math.max(work.promptTokens() / tokensPerMilli, work.requests() / requestsPerMilli);
  }
}
