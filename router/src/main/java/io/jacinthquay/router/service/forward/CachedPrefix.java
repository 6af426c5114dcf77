package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.dispatch.PromptPart;
import io.jacinthquay.model.UpstreamId;
import java.util.List;

/**
 * A shared prompt prefix that was sent to an upstream, which then holds it in its prefix cache.
 *
 * @param upstream the upstream
 * @param parts the shared parts, in order
 */
public record CachedPrefix(UpstreamId upstream, List<PromptPart> parts) {
  /** Copies the list. */
  public CachedPrefix {
    parts = List.copyOf(parts);
  }
}
