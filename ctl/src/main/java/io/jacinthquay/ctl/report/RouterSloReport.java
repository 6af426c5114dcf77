package io.jacinthquay.ctl.report;

import io.jacinthquay.decision.slo.SloSnapshot;
import io.jacinthquay.wire.gen.StalenessReport;
import java.util.Objects;

/**
 * The service-level report of one router.
 *
 * @param router the name of the router
 * @param domain the failure domain of the router
 * @param counts the service-level counts of the router
 * @param staleness the ages of the data that the router bases its decisions on
 */
public record RouterSloReport(
    String router, String domain, SloSnapshot counts, StalenessReport staleness) {
  /**
   * Checks that all parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public RouterSloReport {
    Objects.requireNonNull(router, "router");
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(counts, "counts");
    Objects.requireNonNull(staleness, "staleness");
  }
}
