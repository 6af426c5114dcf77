package io.jacinthquay.router.service.request;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.Header;
import io.jacinthquay.router.port.ResponseHead;
import io.jacinthquay.runtime.http.BodyBuffer;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Buffers a JSON answer of an engine until it is complete, so that a failure can be retried. */
final class JsonRelay implements AnswerRelay {
  private static final int OK = 200;

  /** Largest answer that is buffered, in bytes. */
  private static final int MAX_BYTES = 8 * 1024 * 1024;

  private final RelayContext context;
  private final BodyBuffer body = new BodyBuffer(MAX_BYTES);
  private Optional<BufferedErrorAnswer> errorAnswer = Optional.empty();
  private Usage usage = Usage.NONE;
  private ResponseHead answerHead;

  JsonRelay(RelayContext context) {
    this.context = context;
  }

  @Override
  public void beginAttempt() {
    body.clear();
    context.memory().release();
    errorAnswer = Optional.empty();
  }

  @Override
  public Optional<ResultCode> onHead(ResponseHead head) {
    answerHead = head;
    errorAnswer =
        head.status() == OK
            ? Optional.empty()
            : Optional.of(new BufferedErrorAnswer(context, head));
    return Optional.empty();
  }

  @Override
  public Optional<ResultCode> onData(ByteBuffer data) {
    if (errorAnswer.isPresent()) {
      return errorAnswer.get().onData(data);
    }
    if (body.size() + data.remaining() > MAX_BYTES) {
      return Optional.of(ResultCode.UPSTREAM_BROKE);
    }
    return body.tryAdd(data, context.memory())
        ? Optional.empty()
        : Optional.of(ResultCode.ANSWER_DROPPED);
  }

  @Override
  public Optional<ResultCode> onEnd() {
    if (errorAnswer.isPresent()) {
      return errorAnswer.get().onEnd();
    }
    byte[] bytes = body.takeAll();
    StreamEvent answer = StreamEvent.ofAnswer(bytes);
    if (answer.kind() != StreamEvent.Kind.PART) {
      return Optional.of(ResultCode.UPSTREAM_BROKE);
    }
    if (!answer.id().equals(context.id().value())) {
      return Optional.of(ResultCode.ANSWER_MISMATCH);
    }
    forward(bytes, answer);
    return Optional.empty();
  }

  private void forward(byte[] bytes, StreamEvent answer) {
    usage = new Usage(answer.promptTokens(), Math.max(0, answer.completionTokens()));
    if (answer.cachedTokens() >= 0) {
      context.progress().onCachedTokens((int) answer.cachedTokens());
    }
    List<Header> headers = new ArrayList<>(ErrorAnswers.headers(context.id(), Outcome.RAN));
    headers.addAll(HeaderRules.toCaller(answerHead.headers()));
    context.caller().sendResponse(new ResponseHead(OK, headers), bytes);
  }

  @Override
  public boolean writable() {
    return true;
  }

  @Override
  public void onDrained() {
    // The whole answer is written at once.
  }

  /** Returns false, since an answer that is not streamed arrives with its last token. */
  @Override
  public boolean timesFirstToken() {
    return false;
  }

  @Override
  public boolean hasStarted() {
    return context.caller().hasBegun();
  }

  @Override
  public DeliveredOutput delivered() {
    return DeliveredOutput.NOTHING;
  }

  @Override
  public void abort(Failure failure, Outcome outcome) {
    context.caller().abort();
  }

  @Override
  public Usage usage() {
    return usage;
  }
}
