package io.jacinthquay.ctl.report;

import io.jacinthquay.decision.slo.SloSnapshot;
import io.jacinthquay.wire.gen.StalenessReport;
import java.util.Objects;

/**
 * What one router told.
 *
 * @param router its name
 * @param domain its failure domain
 * @param counts its service-level counts
 * @param staleness the ages of what it decides by
 */
public record RouterView(
    String router, String domain, SloSnapshot counts, StalenessReport staleness) {
  /**
   * Checks that all parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public RouterView {
    Objects.requireNonNull(router, "router");
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(counts, "counts");
    Objects.requireNonNull(staleness, "staleness");
  }
}
