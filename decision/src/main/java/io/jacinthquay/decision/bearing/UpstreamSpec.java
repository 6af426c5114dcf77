package io.jacinthquay.decision.bearing;

import io.jacinthquay.model.UpstreamId;
import java.util.Objects;

/**
 * Stated properties of an upstream, known before any request runs on it.
 *
 * @param upstream the upstream
 * @param floor concurrent requests that it can serve when fresh, 1 or more
 * @param ceiling highest concurrency limit that may be tried, {@code floor} or more
 * @param reportsLoad whether it sends load reports; without them a new owner can't see the requests
 *     that lost routers still run on it
 */
public record UpstreamSpec(UpstreamId upstream, int floor, int ceiling, boolean reportsLoad) {
  /** Ceiling if neither the upstream nor its operators state one, in concurrent requests. */
  public static final int DEFAULT_CEILING = 256;

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a number is out of range
   * @throws NullPointerException if {@code upstream} is missing
   */
  public UpstreamSpec {
    Objects.requireNonNull(upstream, "upstream");
    if (floor < 1 || ceiling < floor) {
      throw new IllegalArgumentException(
          "floor must be 1 or more and at most the ceiling; floor is "
              + floor
              + ", ceiling is "
              + ceiling);
    }
  }

  /** Returns the properties of an upstream that reports its load. */
  public UpstreamSpec(UpstreamId upstream, int floor, int ceiling) {
    this(upstream, floor, ceiling, true);
  }

  /** Returns the properties of an upstream that states nothing and sends no load reports. */
  public static UpstreamSpec unstated(UpstreamId upstream) {
    return new UpstreamSpec(upstream, 1, DEFAULT_CEILING, false);
  }

  /** Returns whether only load reports state its capacity, because no ceiling is stated. */
  public boolean limitIsReported() {
    return reportsLoad && ceiling >= DEFAULT_CEILING;
  }
}
