package io.jacinthquay.consensus;

import java.util.Objects;
import java.util.Optional;

/**
 * Why the log did not do what was asked.
 *
 * @param error the numbered error
 * @param detail a sentence for the operator
 * @param leader the leader to ask instead, if known
 */
public record LogFailure(LogError error, String detail, Optional<MemberId> leader) {
  /** Checks that all parts are present. */
  public LogFailure {
    Objects.requireNonNull(error, "error");
    Objects.requireNonNull(detail, "detail");
    Objects.requireNonNull(leader, "leader");
  }

  /**
   * Builds a failure without a leader hint.
   *
   * @param error the numbered error
   * @param detail a sentence for the operator
   * @return the failure
   */
  public static LogFailure of(LogError error, String detail) {
    return new LogFailure(error, detail, Optional.empty());
  }
}
