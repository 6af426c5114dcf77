package io.jacinthquay.decision.bearing;

import io.jacinthquay.model.UpstreamId;
import java.util.Objects;

/**
 * A load report of an upstream, which arrives with a delay.
 *
 * @param upstream the upstream
 * @param measuredAtNanos earliest possible time of the measurement, on the receiver's monotonic
 *     clock
 * @param running running requests, 0 or more
 * @param queued queued requests, 0 or more
 * @param cold whether it reports that caches or adapters are not loaded
 * @param stated concurrency limit that it states; 0 if it states none
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
      throw new IllegalArgumentException("numbers in a load report must not be negative");
    }
  }
}
