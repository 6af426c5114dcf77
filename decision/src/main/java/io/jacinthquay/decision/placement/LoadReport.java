package io.jacinthquay.decision.placement;

import io.jacinthquay.model.UpstreamId;
import java.util.Objects;

/**
 * The load that an upstream reports of itself, for all of its callers together.
 *
 * @param upstream the upstream
 * @param takenAtNanos when the load was read, on the router's monotonic clock; reports that are
 *     older than one already known are ignored
 * @param running requests in the batch, 0 or more
 * @param waiting requests that wait in the upstream, 0 or more
 * @param batchLimit most requests that run at once, at least 1
 */
public record LoadReport(
    UpstreamId upstream, long takenAtNanos, int running, int waiting, int batchLimit) {
  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a number is out of range
   * @throws NullPointerException if {@code upstream} is missing
   */
  public LoadReport {
    Objects.requireNonNull(upstream, "upstream");
    if (running < 0 || waiting < 0 || batchLimit < 1) {
      throw new IllegalArgumentException("a load report has a number out of range");
    }
  }
}
