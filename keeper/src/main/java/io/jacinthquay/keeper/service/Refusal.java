package io.jacinthquay.keeper.service;

import io.jacinthquay.consensus.LogError;
import io.jacinthquay.consensus.LogFailure;
import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import java.util.Objects;
import java.util.Optional;

/**
 * Why a keeper did not do what was asked.
 *
 * @param failure the numbered failure
 * @param leader the keeper to ask instead, if known
 */
public record Refusal(Failure failure, Optional<String> leader) {
  /** Checks that both parts are present. */
  public Refusal {
    Objects.requireNonNull(failure, "failure");
    Objects.requireNonNull(leader, "leader");
  }

  /** Returns a refusal without another keeper to ask. */
  public static Refusal of(Failure failure) {
    return new Refusal(failure, Optional.empty());
  }

  /** Returns the refusal that stands for a failure of the log. */
  static Refusal of(LogFailure failure) {
    ResultCode code =
        failure.error() == LogError.NOT_LEADER ? ResultCode.NOT_LEADER : ResultCode.NO_QUORUM;
    String detail = failure.error() + ": " + failure.detail();
    return new Refusal(Failure.of(code, detail), failure.leader().map(MemberId::value));
  }
}
