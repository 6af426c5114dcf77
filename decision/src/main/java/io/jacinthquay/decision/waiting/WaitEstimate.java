package io.jacinthquay.decision.waiting;

import io.jacinthquay.decision.cluster.WaitingWork;

/**
 * What is expected of a request that waits.
 *
 * @param ahead work that is sent before it, by all routers
 * @param waitMillis expected time until it is sent, in milliseconds
 * @param firstMillis expected time from then to its first token or its answer, in milliseconds
 * @param onTime whether it is expected to meet its target
 */
public record WaitEstimate(
    WaitingWork ahead, double waitMillis, double firstMillis, boolean onTime) {
  /** Returns the expected time until the first token or the answer, in milliseconds. */
  public double totalMillis() {
    return waitMillis + firstMillis;
  }
}
