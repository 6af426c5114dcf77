package io.jacinthquay.router.service.forward;

import io.jacinthquay.model.Failure;
import io.jacinthquay.router.port.AnswerHead;
import io.jacinthquay.router.port.AttemptFacts;
import io.jacinthquay.router.port.CallerHead;
import io.jacinthquay.router.port.ForwardProtocol;
import io.jacinthquay.router.port.Header;
import io.jacinthquay.router.port.RequestFacts;
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
  static CallerHead head(String attempt, String path) {
    return new CallerHead("POST", path, path, "", List.of(new Header(ATTEMPT, attempt)));
  }

  @Override
  public RequestFacts request(CallerHead head) {
    return new RequestFacts(
        head.header(ATTEMPT).orElse(""),
        HOST,
        Optional.empty(),
        OptionalLong.empty(),
        0,
        0,
        List.of(),
        OptionalLong.empty());
  }

  @Override
  public List<Header> toUpstream(CallerHead head, AttemptFacts attempt) {
    return List.of();
  }

  @Override
  public String echoHeader() {
    return ATTEMPT;
  }

  @Override
  public AnswerKind kind(AnswerHead head) {
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
  public List<Header> toCaller(AnswerHead head) {
    return head.headers();
  }

  @Override
  public AnswerHead refusal(Failure failure, OptionalDouble retryAfterSeconds) {
    return new AnswerHead(failure.code().httpStatus(), List.of());
  }
}
