package io.jacinthquay.decision.dispatch;

import java.util.Objects;
import java.util.Optional;

/**
 * One request on its way to one upstream.
 *
 * @param upstream where it was sent
 * @param work what it asks
 * @param unreadTokens prompt tokens that the upstream has probably still to read
 * @param source the engine from which the upstream gets the beginning of the prompt
 * @param sentNanos when it was sent, on the monotonic clock
 */
public record Sending(
    UpstreamState upstream, Work work, int unreadTokens, Optional<Listing> source, long sentNanos) {
  /** Checks that all parts are present. */
  public Sending {
    Objects.requireNonNull(upstream, "upstream");
    Objects.requireNonNull(work, "work");
    Objects.requireNonNull(source, "source");
  }
}
