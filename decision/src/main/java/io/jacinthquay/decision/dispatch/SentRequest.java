package io.jacinthquay.decision.dispatch;

import io.jacinthquay.decision.learning.LearnedFigure;
import java.util.Objects;
import java.util.Optional;

/**
 * A request that was sent to an upstream.
 *
 * @param upstream the upstream that it was sent to
 * @param work the request
 * @param unreadTokens estimated prompt tokens that the upstream has to read
 * @param source the engine from which the upstream fetches the prompt prefix
 * @param aheadTokens estimated prompt tokens that the upstream reads before, if it reads them in
 *     order
 * @param figure the learned rates on which the upstream was chosen; empty where none are learned
 * @param sentNanos when it was sent, on the monotonic clock
 */
public record SentRequest(
    UpstreamState upstream,
    PoolRequest work,
    int unreadTokens,
    Optional<UpstreamListing> source,
    long aheadTokens,
    Optional<LearnedFigure> figure,
    long sentNanos) {
  /** Checks that all components are present. */
  public SentRequest {
    Objects.requireNonNull(upstream, "upstream");
    Objects.requireNonNull(work, "work");
    Objects.requireNonNull(source, "source");
    Objects.requireNonNull(figure, "figure");
  }
}
