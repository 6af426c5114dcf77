package io.jacinthquay.keeper.service;

import io.jacinthquay.consensus.LogError;
import io.jacinthquay.consensus.LogFailure;
import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import java.util.Objects;
import java.util.Optional;

/**
 * Failure of a call to a keeper.
 *
 * @param failure the failure with its result code
 * @param leader name of the leader, to which the call can be sent instead, if known
 */
public record KeeperFailure(Failure failure, Optional<String> leader) {
  /** Checks that neither component is null. */
  public KeeperFailure {
    Objects.requireNonNull(failure, "failure");
    Objects.requireNonNull(leader, "leader");
  }

  /** Returns a failure without a known leader. */
  public static KeeperFailure of(Failure failure) {
    return new KeeperFailure(failure, Optional.empty());
  }

  /** Returns the failure of a call that a failure of the log caused. */
  static KeeperFailure of(LogFailure failure) {
    ResultCode code =
        failure.error() == LogError.NOT_LEADER ? ResultCode.NOT_LEADER : ResultCode.NO_QUORUM;
    String detail = failure.error() + ": " + failure.detail();
    return new KeeperFailure(Failure.of(code, detail), failure.leader().map(MemberId::value));
  }
}
