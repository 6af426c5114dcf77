package io.jacinthquay.router.port;

import io.jacinthquay.model.Failure;
import java.util.List;
import java.util.OptionalDouble;

/** The headers that callers, routers and upstreams exchange about a forwarded request. */
public interface ForwardProtocol {
  /** Returns what a caller's headers say. */
  RequestFacts request(CallerHead head);

  /**
   * Returns the headers that an upstream gets: those of the caller that may pass, and the router's.
   */
  List<Header> toUpstream(CallerHead head, AttemptFacts attempt);

  /** Returns the name of the header in which upstreams echo the caller's attempt id. */
  String echoHeader();

  /** Returns what the head of an upstream's answer says. */
  AnswerKind kind(AnswerHead head);

  /** Returns the headers of an upstream's answer that the caller gets. */
  List<Header> toCaller(AnswerHead head);

  /**
   * Returns the head of a refusal of the router itself.
   *
   * @param retryAfterSeconds when the caller should come back, if the request has not run
   */
  AnswerHead refusal(Failure failure, OptionalDouble retryAfterSeconds);

  /** What an answer says of the request. */
  enum AnswerKind {
    /** The upstream did not run it and never will. */
    NOT_RUN,
    /** The upstream ran it and answers with success. */
    SUCCESS,
    /** The upstream ran it and answers with a failure whose status promises nothing. */
    FAILURE,
    /** The answer lacks what it must have, or claims without a proof that nothing was run. */
    SPOILT
  }
}
