package io.jacinthquay.decision.membership;

import java.util.Objects;

/**
 * A snapshot of another failure domain as seen by a router.
 *
 * @param summary the last summary
 * @param ageMillis its age, in milliseconds, 0 or more
 */
public record SummaryView(DomainSummary summary, long ageMillis) {
  /**
   * Checks that the summary is not null.
   *
   * @throws NullPointerException if {@code summary} is null
   */
  public SummaryView {
    Objects.requireNonNull(summary, "summary");
  }
}
