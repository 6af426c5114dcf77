package io.jacinthquay.consensus;

import java.util.Objects;
import java.util.Optional;

/**
 * The reason why an operation of the replicated log failed.
 *
 * @param error the error
 * @param detail a sentence for the operator
 * @param leader the leader to which the operation should be sent instead, if known
 */
public record LogFailure(LogError error, String detail, Optional<MemberId> leader) {
  /**
   * Checks that all components are present.
   *
   * @throws NullPointerException if a component is null
   */
  public LogFailure {
    Objects.requireNonNull(error, "error");
    Objects.requireNonNull(detail, "detail");
    Objects.requireNonNull(leader, "leader");
  }

  /**
   * Returns a failure that names no leader.
   *
   * @param error the error
   * @param detail a sentence for the operator
   * @return the failure
   */
  public static LogFailure of(LogError error, String detail) {
    return new LogFailure(error, detail, Optional.empty());
  }
}
