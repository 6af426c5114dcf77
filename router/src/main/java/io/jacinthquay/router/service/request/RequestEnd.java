package io.jacinthquay.router.service.request;

import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.UpstreamId;
import java.util.Optional;

/** What follows the end of a request. */
interface RequestEnd {
  /** Returns whether the request runs on when its caller has gone. */
  boolean outlivesCaller();

  /** The request has ended, and its caller has the answer. */
  void ended(Facts facts, AnswerRelay relay);

  /**
   * How a request went.
   *
   * @param code why it failed; absent if it succeeded or its caller went away
   * @param outcome whether an upstream ran it
   * @param upstream the last upstream that it was sent to
   * @param attempts how many times it was sent
   * @param firstByteNanos time to the first byte of the answer; negative if there was none
   * @param inputTokens prompt tokens
   * @param outputTokens tokens that the caller was given
   */
  record Facts(
      Optional<ResultCode> code,
      Outcome outcome,
      Optional<UpstreamId> upstream,
      int attempts,
      long firstByteNanos,
      long inputTokens,
      long outputTokens) {}
}
