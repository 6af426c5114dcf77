package io.jacinthquay.router.service.dispatch;

import io.jacinthquay.decision.slots.Completion;
import java.util.Objects;

/**
 * How an attempt ended.
 *
 * @param end the kind of end
 * @param inputTokens prompt tokens that the upstream read
 * @param outputTokens tokens that it gave
 * @param firstTokenNanos time from sending to the first token; negative if none came
 * @param onTarget whether the targets of the class were met
 */
public record AttemptReport(
    Completion.End end,
    long inputTokens,
    long outputTokens,
    long firstTokenNanos,
    boolean onTarget) {
  /**
   * Checks that the end is present.
   *
   * @throws NullPointerException if {@code end} is missing
   */
  public AttemptReport {
    Objects.requireNonNull(end, "end");
  }
}
