package io.jacinthquay.decision.bearing;

import io.jacinthquay.model.UpstreamId;
import java.util.Objects;

/**
 * What is stated of an upstream before any work ran on it.
 *
 * @param upstream the upstream
 * @param floor requests at a time that it can serve when fresh, 1 or more
 * @param ceiling most requests at a time that may ever be tried, {@code floor} or more
 * @param reportsLoad whether load reports of it come; without them a new owner can't see what lost
 *     routers still run on it
 */
public record UpstreamSpec(UpstreamId upstream, int floor, int ceiling, boolean reportsLoad) {
  /** Ceiling where neither the upstream nor its operators state one. */
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
      throw new IllegalArgumentException("floor is " + floor + " and ceiling is " + ceiling);
    }
  }

  /** Describes an upstream that reports its load. */
  public UpstreamSpec(UpstreamId upstream, int floor, int ceiling) {
    this(upstream, floor, ceiling, true);
  }

  /** Returns the values for an upstream that states nothing and sends no load reports. */
  public static UpstreamSpec unstated(UpstreamId upstream) {
    return new UpstreamSpec(upstream, 1, DEFAULT_CEILING, false);
  }

  /** Returns whether only load reports tell what it bears, because no ceiling is stated. */
  public boolean limitIsReported() {
    return reportsLoad && ceiling >= DEFAULT_CEILING;
  }
}
