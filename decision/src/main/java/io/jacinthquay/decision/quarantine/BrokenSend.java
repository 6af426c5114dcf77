package io.jacinthquay.decision.quarantine;

import io.jacinthquay.model.UpstreamId;
import java.util.List;
import java.util.Objects;

/**
 * A send whose connection the upstream closed before the answer was under way.
 *
 * @param upstream the upstream
 * @param parts the parts of its prompt that other requests share
 * @param atNanos when the connection closed, on the monotonic clock of the observer
 */
public record BrokenSend(UpstreamId upstream, List<PartId> parts, long atNanos) {
  /** Checks that the upstream is present and copies the parts. */
  public BrokenSend {
    Objects.requireNonNull(upstream, "upstream");
    parts = List.copyOf(parts);
  }
}
