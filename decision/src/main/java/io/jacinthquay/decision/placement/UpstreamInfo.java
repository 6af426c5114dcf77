package io.jacinthquay.decision.placement;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.UpstreamId;
import java.util.Objects;

/**
 * The fixed facts of an upstream.
 *
 * @param id the upstream
 * @param domain the failure domain that it runs in
 */
public record UpstreamInfo(UpstreamId id, DomainId domain) {
  /**
   * Checks that both parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public UpstreamInfo {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(domain, "domain");
  }
}
