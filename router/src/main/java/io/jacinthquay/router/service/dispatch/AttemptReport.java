package io.jacinthquay.router.service.dispatch;

import io.jacinthquay.decision.slots.Completion;
import java.util.Objects;

/**
 * The result of an attempt.
 *
 * @param end how the attempt ended
 * @param inputTokens prompt tokens that the upstream processed
 * @param outputTokens tokens that the upstream generated
 * @param firstTokenNanos time from sending to the first token; negative if none came
 * @param onTarget whether the first byte arrived within the target of the class
 */
public record AttemptReport(
    Completion.End end,
    long inputTokens,
    long outputTokens,
    long firstTokenNanos,
    boolean onTarget) {
  /**
   * Creates a report.
   *
   * @throws NullPointerException if {@code end} is null
   */
  public AttemptReport {
    Objects.requireNonNull(end, "end");
  }
}
