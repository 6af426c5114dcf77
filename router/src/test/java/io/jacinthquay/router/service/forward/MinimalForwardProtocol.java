package io.jacinthquay.router.service.forward;

import io.jacinthquay.model.Failure;
import io.jacinthquay.router.port.AttemptMetadata;
import io.jacinthquay.router.port.ForwardProtocol;
import io.jacinthquay.router.port.Header;
import io.jacinthquay.router.port.RequestHead;
import io.jacinthquay.router.port.RequestMetadata;
import io.jacinthquay.router.port.ResponseHead;
import io.jacinthquay.router.port.UpstreamNotice;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;

/** A forward protocol with the minimum set of headers. */
final class MinimalForwardProtocol implements ForwardProtocol {
  /** Statuses that state that the request has not run and never will. */
  private static final Set<Integer> REFUSALS = Set.of(408, 421, 429, 503);

  /** Header of an upstream's answer that proves that the request did not run and never will. */
  static final String PROOF = "proof";

  /** Header that marks an upstream's answer as invalid. */
  static final String SPOILT = "spoilt";

  static final String HOST = "h";
  private static final String ATTEMPT = "attempt";
  private static final int SUCCESS_FROM = 200;
  private static final int SUCCESS_TO = 300;

  /** Returns the head of a caller's request. */
  static RequestHead head(String attempt, String path) {
    return new RequestHead("POST", path, path, "", List.of(new Header(ATTEMPT, attempt)));
  }

  @Override
  public RequestMetadata requestMetadata(RequestHead head) {
    return new RequestMetadata(
        head.header(ATTEMPT).orElse(""),
        HOST,
        Optional.empty(),
        OptionalLong.empty(),
        0,
        0,
        List.of(),
        OptionalLong.empty(),
        Optional.empty());
  }

  @Override
  public List<Header> toUpstream(RequestHead head, AttemptMetadata attempt) {
    return List.of();
  }

  @Override
  public String echoHeader() {
    return ATTEMPT;
  }

  @Override
  public UpstreamNotice notice(ResponseHead head) {
    return UpstreamNotice.NONE;
  }

  @Override
  public AnswerKind responseKind(ResponseHead head) {
    if (head.header(PROOF).isPresent()) {
      return AnswerKind.NOT_RUN;
    }
    if (head.header(SPOILT).isPresent()) {
      return AnswerKind.SPOILT;
    }
    if (REFUSALS.contains(head.status())) {
      return AnswerKind.SPOILT;
    }
    boolean success = head.status() >= SUCCESS_FROM && head.status() < SUCCESS_TO;
    return success ? AnswerKind.SUCCESS : AnswerKind.FAILURE;
  }

  @Override
  public List<Header> toCaller(ResponseHead head) {
    return head.headers();
  }

  @Override
  public ResponseHead refusal(Failure failure, OptionalDouble retryAfterSeconds) {
    return new ResponseHead(failure.code().httpStatus(), List.of());
  }
}
