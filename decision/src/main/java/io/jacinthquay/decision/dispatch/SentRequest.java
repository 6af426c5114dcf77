package io.jacinthquay.decision.dispatch;

import java.util.Objects;
import java.util.Optional;

/**
 * A request that was sent to an upstream.
 *
 * @param upstream the upstream that it was sent to
 * @param work the request
 * @param unreadTokens estimated prompt tokens that the upstream has to read
 * @param source the engine from which the upstream fetches the prompt prefix
 * @param sentNanos when it was sent, on the monotonic clock
 */
public record SentRequest(
    UpstreamState upstream,
    PoolRequest work,
    int unreadTokens,
    Optional<UpstreamListing> source,
    long sentNanos) {
  /** Checks that all components are present. */
  public SentRequest {
    Objects.requireNonNull(upstream, "upstream");
    Objects.requireNonNull(work, "work");
    Objects.requireNonNull(source, "source");
  }
}
