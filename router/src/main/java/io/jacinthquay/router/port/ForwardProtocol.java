package io.jacinthquay.router.port;

import io.jacinthquay.model.Failure;
import java.util.List;
import java.util.OptionalDouble;

/** Reads and writes the headers of forwarded requests and their responses. */
public interface ForwardProtocol {
  /** Parses the headers of a caller's request. */
  RequestMetadata requestMetadata(RequestHead head);

  /**
   * Returns the headers to send to an upstream: the caller's headers that may be forwarded, and the
   * router's own.
   */
  List<Header> toUpstream(RequestHead head, AttemptMetadata attempt);

  /** Returns the name of the response header in which upstreams echo the caller's attempt id. */
  String echoHeader();

  /** Classifies an upstream's response by its head. */
  AnswerKind responseKind(ResponseHead head);

  /** Returns what an upstream's response says of the upstream itself. */
  UpstreamNotice notice(ResponseHead head);

  /** Returns the headers of an upstream's response that are forwarded to the caller. */
  List<Header> toCaller(ResponseHead head);

  /**
   * Returns the head of a response with which the router itself rejects a request.
   *
   * @param retryAfterSeconds when the caller should retry, in seconds; present only if the request
   *     has not run
   */
  ResponseHead refusal(Failure failure, OptionalDouble retryAfterSeconds);

  /** What a response says about whether the request ran. */
  enum AnswerKind {
    /** The upstream did not run the request and never will. */
    NOT_RUN,
    /** The upstream ran the request and responds with success. */
    SUCCESS,
    /**
     * The upstream ran the request and responds with a failure; its status doesn't claim that
     * nothing was run.
     */
    FAILURE,
    /**
     * The response is invalid: a required header is missing, or it states without a proof that the
     * request was not run.
     */
    SPOILT
  }
}
