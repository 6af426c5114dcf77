package io.jacinthquay.decision.placement;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UpstreamId;
import java.util.Objects;

/**
 * The immutable properties of an upstream.
 *
 * @param id the upstream
 * @param domain the failure domain in which it runs
 */
public record UpstreamInfo(UpstreamId id, DomainId domain) {
  /**
   * Checks that no component is null.
   *
   * @throws NullPointerException if a component is null
   */
  public UpstreamInfo {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(domain, "domain");
  }
}
