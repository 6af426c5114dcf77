package io.jacinthquay.decision.placement;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UpstreamId;
import java.util.Objects;

/**
 * An upstream chosen for a request.
 *
 * @param upstream the upstream
 * @param domain the failure domain of the upstream
 * @param expectedFirstTokenNanos expected time until the first token, in nanoseconds, 0 or more
 * @param expectedCachedTokens leading prompt tokens that are probably in the upstream's prefix
 *     cache, 0 or more
 * @param local whether the upstream is in the router's own failure domain
 */
public record Placement(
    UpstreamId upstream,
    DomainId domain,
    long expectedFirstTokenNanos,
    int expectedCachedTokens,
    boolean local) {
  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a number is negative
   * @throws NullPointerException if a component is null
   */
  public Placement {
    Objects.requireNonNull(upstream, "upstream");
    Objects.requireNonNull(domain, "domain");
    if (expectedFirstTokenNanos < 0 || expectedCachedTokens < 0) {
      throw new IllegalArgumentException("expected values must not be negative");
    }
  }
}
