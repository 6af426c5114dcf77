package io.jacinthquay.decision.slots;

import io.jacinthquay.model.UpstreamId;
import java.util.Objects;

/**
 * The concurrency limit of an upstream as last sent by a former owner, from which a new owner
 * starts.
 *
 * @param upstream the upstream
 * @param limit concurrent requests, 0 or more
 * @param warming whether the limit was still in its initial fast growth
 * @param ageNanos age of the limit, 0 or more
 */
public record ConcurrencyLimitHint(UpstreamId upstream, int limit, boolean warming, long ageNanos) {
  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a number is negative
   * @throws NullPointerException if {@code upstream} is missing
   */
  public ConcurrencyLimitHint {
    Objects.requireNonNull(upstream, "upstream");
    if (limit < 0 || ageNanos < 0) {
      throw new IllegalArgumentException("limit is " + limit + " and age is " + ageNanos);
    }
  }
}
