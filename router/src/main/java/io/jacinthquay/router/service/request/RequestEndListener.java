package io.jacinthquay.router.service.request;

import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.UpstreamId;
import java.util.Optional;

/** Receives the end of a request. */
interface RequestEndListener {
  /** Returns whether the request continues after its caller disconnected. */
  boolean outlivesCaller();

  /** Called when the request has ended and its answer was sent to the caller. */
  void ended(Summary summary, AnswerRelay relay);

  /**
   * The result of a request.
   *
   * @param code the cause of the failure; absent if the request succeeded or its caller
   *     disconnected
   * @param outcome whether an upstream ran the request
   * @param upstream the last upstream that the request was sent to
   * @param attempts number of attempts
   * @param firstByteNanos time to the first byte of the answer; negative if there was none
   * @param inputTokens prompt tokens
   * @param outputTokens tokens that were sent to the caller
   */
  record Summary(
      Optional<ResultCode> code,
      Outcome outcome,
      Optional<UpstreamId> upstream,
      int attempts,
      long firstByteNanos,
      long inputTokens,
      long outputTokens) {}
}
