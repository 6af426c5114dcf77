package io.jacinthquay.router.service.request;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.Header;
import io.jacinthquay.router.port.RecordedResponse;
import io.jacinthquay.router.port.ResponseHead;
import io.jacinthquay.runtime.http.BodyBuffer;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Relays the answer of a plain service.
 *
 * <p>A short answer is buffered until it is complete, so that a failure of the upstream can be
 * reported with its result code. A long answer is streamed, and a failure closes the caller's
 * connection.
 */
final class PlainRelay implements AnswerRelay {
  /** Largest answer that is buffered until it is complete, in bytes. */
  private static final int MAX_BUFFERED_BYTES = 64 * 1024;

  private final RelayContext context;
  private final BodyBuffer buffered = new BodyBuffer(MAX_BUFFERED_BYTES);
  private Optional<byte[]> wholeBody = Optional.empty();
  private ResponseHead answerHead;
  private boolean writable = true;

  PlainRelay(RelayContext context) {
    this.context = context;
  }

  @Override
  public void beginAttempt() {
    buffered.clear();
    context.memory().release();
  }

  @Override
  public Optional<ResultCode> onHead(ResponseHead head) {
    answerHead = head;
    return Optional.empty();
  }

  @Override
  public Optional<ResultCode> onData(ByteBuffer data) {
    if (context.caller().hasBegun()) {
      writable = context.caller().write(data);
      return Optional.empty();
    }
    if (!buffered.tryAdd(data, context.memory())) {
      return Optional.of(ResultCode.ANSWER_DROPPED);
    }
    if (buffered.size() > MAX_BUFFERED_BYTES) {
      begin(declaredLength());
      writable = context.caller().write(ByteBuffer.wrap(buffered.takeAll()));
      context.memory().release();
    }
    return Optional.empty();
  }

  private OptionalLong declaredLength() {
    return answerHead
        .header("content-length")
        .map(text -> OptionalLong.of(Long.parseLong(text)))
        .orElse(OptionalLong.empty());
  }

  private void begin(OptionalLong length) {
    List<Header> headers = new ArrayList<>(ErrorAnswers.headers(context.id(), Outcome.RAN));
    headers.addAll(HeaderRules.toCaller(answerHead.headers()));
    context.caller().begin(new ResponseHead(answerHead.status(), headers), length);
  }

  @Override
  public Optional<ResultCode> onEnd() {
    if (!context.caller().hasBegun()) {
      byte[] body = buffered.takeAll();
      wholeBody = Optional.of(body);
      begin(OptionalLong.of(body.length));
      context.caller().write(ByteBuffer.wrap(body));
    }
    context.caller().end();
    return Optional.empty();
  }

  /** Returns the complete answer for a later replay, unless it was too long to be buffered. */
  Optional<RecordedResponse> recordedAnswer() {
    return wholeBody.map(
        body ->
            new RecordedResponse(
                answerHead.status(), answerHead.header("content-type").orElse(""), body));
  }

  @Override
  public boolean writable() {
    return writable;
  }

  @Override
  public void onDrained() {
    writable = true;
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
    return Usage.NONE;
  }
}
