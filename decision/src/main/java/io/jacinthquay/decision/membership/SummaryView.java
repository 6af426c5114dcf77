package io.jacinthquay.decision.membership;

import java.util.Objects;

/**
 * What a router knows of another failure domain.
 *
 * @param summary the last summary
 * @param ageMillis its age, in milliseconds, 0 or more
 */
public record SummaryView(DomainSummary summary, long ageMillis) {
  /**
   * Checks that the summary is present.
   *
   * @throws NullPointerException if {@code summary} is missing
   */
  public SummaryView {
    Objects.requireNonNull(summary, "summary");
  }
}
