package io.jacinthquay.router.port;

import java.util.Objects;
import java.util.OptionalDouble;

/**
 * What a response says of the upstream that sent it, apart from the request.
 *
 * @param requestsPerSecond requests per second that the upstream takes from all routers together,
 *     finite and 0 or more; empty if it states no limit
 * @param isReadable whether the notice could be read; if not, it says nothing and ends nothing
 */
public record UpstreamNotice(OptionalDouble requestsPerSecond, boolean isReadable) {
  /** The notice of a response that says nothing. */
  public static final UpstreamNotice NONE = new UpstreamNotice(OptionalDouble.empty(), true);

  /** The notice of a response whose statement can't be read. */
  public static final UpstreamNotice UNREADABLE = new UpstreamNotice(OptionalDouble.empty(), false);

  /**
   * Checks the range.
   *
   * @throws IllegalArgumentException if the limit is negative or not finite
   */
  public UpstreamNotice {
    Objects.requireNonNull(requestsPerSecond, "requestsPerSecond");
    double limit = requestsPerSecond.orElse(0);
    if (limit < 0 || !Double.isFinite(limit)) {
      throw new IllegalArgumentException("limit must be finite and 0 or more: " + limit);
    }
  }

  /** Returns the notice of a response that states a limit, finite and 0 or more. */
  public static UpstreamNotice limit(double requestsPerSecond) {
    return new UpstreamNotice(OptionalDouble.of(requestsPerSecond), true);
  }
}
