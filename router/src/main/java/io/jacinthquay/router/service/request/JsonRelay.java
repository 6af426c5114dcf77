package io.jacinthquay.router.service.request;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.AnswerHead;
import io.jacinthquay.router.port.Header;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Passes a whole JSON answer of an engine on, so that a broken one can be asked for again. */
final class JsonRelay implements AnswerRelay {
  private static final int OK = 200;
  private static final int MAX_BYTES = 8 * 1024 * 1024;

  private final RelayContext context;
  private ByteArrayOutputStream body = new ByteArrayOutputStream();
  private Optional<ErrorPass> errorPass = Optional.empty();
  private Usage usage = Usage.NONE;
  private AnswerHead answerHead;

  JsonRelay(RelayContext context) {
    this.context = context;
  }

  @Override
  public void attempt() {
    body = new ByteArrayOutputStream();
    errorPass = Optional.empty();
  }

  @Override
  public Optional<ResultCode> head(AnswerHead head) {
    answerHead = head;
    errorPass = head.status() == OK ? Optional.empty() : Optional.of(new ErrorPass(context, head));
    return Optional.empty();
  }

  @Override
  public Optional<ResultCode> data(ByteBuffer data) {
    if (errorPass.isPresent()) {
      return errorPass.get().data(data);
    }
    if (body.size() + data.remaining() > MAX_BYTES) {
      return Optional.of(ResultCode.UPSTREAM_BROKE);
    }
    byte[] bytes = new byte[data.remaining()];
    data.get(bytes);
    body.writeBytes(bytes);
    return Optional.empty();
  }

  @Override
  public Optional<ResultCode> end() {
    if (errorPass.isPresent()) {
      return errorPass.get().end();
    }
    byte[] bytes = body.toByteArray();
    StreamEvent answer = StreamEvent.ofAnswer(bytes);
    if (answer.kind() != StreamEvent.Kind.PART) {
      return Optional.of(ResultCode.UPSTREAM_BROKE);
    }
    if (!answer.id().equals(context.id().value())) {
      return Optional.of(ResultCode.ANSWER_MISMATCH);
    }
    pass(bytes, answer);
    return Optional.empty();
  }

  private void pass(byte[] bytes, StreamEvent answer) {
    usage = new Usage(answer.promptTokens(), Math.max(0, answer.completionTokens()));
    if (answer.cachedTokens() >= 0) {
      context.progress().cachedTokens((int) answer.cachedTokens());
    }
    List<Header> headers = new ArrayList<>(ErrorAnswers.headers(context.id(), Outcome.RAN));
    headers.addAll(HeaderRules.toCaller(answerHead.headers()));
    context.caller().answer(new AnswerHead(OK, headers), bytes);
  }

  @Override
  public boolean writable() {
    return true;
  }

  @Override
  public void drained() {
    // The whole answer is written at once.
  }

  /** An answer that is not streamed arrives with its last token. */
  @Override
  public boolean timesFirstToken() {
    return false;
  }

  @Override
  public boolean started() {
    return context.caller().hasBegun();
  }

  @Override
  public Delivered delivered() {
    return Delivered.NOTHING;
  }

  @Override
  public void breakOff(Failure failure, Outcome outcome) {
    context.caller().abort();
  }

  @Override
  public Usage usage() {
    return usage;
  }
}
