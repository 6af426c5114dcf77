package io.jacinthquay.decision.bearing;

import io.jacinthquay.model.UpstreamId;
import java.util.Objects;

/**
 * What an upstream reported of its load; it arrives late.
 *
 * @param upstream the upstream
 * @param measuredAtNanos earliest time at which it was measured, on the receiver's monotonic clock
 * @param running requests that it ran, 0 or more
 * @param queued requests that it held back, 0 or more
 * @param cold whether it says that caches or adapters are not loaded
 * @param stated most requests at a time that it says it can serve; 0 if it says nothing
 */
public record LoadReport(
    UpstreamId upstream, long measuredAtNanos, int running, int queued, boolean cold, int stated) {
  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a number is negative
   * @throws NullPointerException if {@code upstream} is missing
   */
  public LoadReport {
    Objects.requireNonNull(upstream, "upstream");
    if (running < 0 || queued < 0 || stated < 0) {
      throw new IllegalArgumentException("a load report holds no negative numbers");
    }
  }
}
