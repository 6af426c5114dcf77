package io.jacinthquay.decision.slots;

import io.jacinthquay.model.UpstreamId;
import java.util.Objects;

/**
 * The limit of an upstream as a former owner knew it, which a new owner starts from.
 *
 * @param upstream the upstream
 * @param limit requests at a time, 0 or more
 * @param warming whether the limit was still in its fast start
 * @param ageNanos how long ago it was heard, 0 or more
 */
public record BearingHint(UpstreamId upstream, int limit, boolean warming, long ageNanos) {
  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a number is negative
   * @throws NullPointerException if {@code upstream} is missing
   */
  public BearingHint {
    Objects.requireNonNull(upstream, "upstream");
    if (limit < 0 || ageNanos < 0) {
      throw new IllegalArgumentException("limit is " + limit + " and age is " + ageNanos);
    }
  }
}
