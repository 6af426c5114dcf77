package io.jacinthquay.router.service.request;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.AnswerHead;
import io.jacinthquay.router.port.Header;
import io.jacinthquay.router.port.RecordedAnswer;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Passes the answer of a plain service on.
 *
 * <p>A short answer is passed on once it is whole, so that a break in it is a numbered failure. A
 * long one is passed on as it comes, and a break closes the caller's connection.
 */
final class PlainRelay implements AnswerRelay {
  /** Longest answer that is held until it is whole, in bytes. */
  private static final int MAX_HELD_BYTES = 64 * 1024;

  private final RelayContext context;
  private ByteArrayOutputStream held = new ByteArrayOutputStream();
  private AnswerHead answerHead;
  private boolean writable = true;
  private boolean whole;

  PlainRelay(RelayContext context) {
    this.context = context;
  }

  @Override
  public void attempt() {
    held = new ByteArrayOutputStream();
  }

  @Override
  public Optional<ResultCode> head(AnswerHead head) {
    answerHead = head;
    return Optional.empty();
  }

  @Override
  public Optional<ResultCode> data(ByteBuffer data) {
    if (context.caller().hasBegun()) {
      writable = context.caller().write(data);
      return Optional.empty();
    }
    byte[] bytes = new byte[data.remaining()];
    data.get(bytes);
    held.writeBytes(bytes);
    if (held.size() > MAX_HELD_BYTES) {
      begin(declaredLength());
      writable = context.caller().write(ByteBuffer.wrap(held.toByteArray()));
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
    context.caller().begin(new AnswerHead(answerHead.status(), headers), length);
  }

  @Override
  public Optional<ResultCode> end() {
    whole = true;
    if (!context.caller().hasBegun()) {
      begin(OptionalLong.of(held.size()));
      context.caller().write(ByteBuffer.wrap(held.toByteArray()));
    }
    context.caller().end();
    return Optional.empty();
  }

  /** Returns the whole answer for a later replay, unless it was too long to be held. */
  Optional<RecordedAnswer> recorded() {
    if (!whole || held.size() > MAX_HELD_BYTES) {
      return Optional.empty();
    }
    String type = answerHead.header("content-type").orElse("");
    return Optional.of(new RecordedAnswer(answerHead.status(), type, held.toByteArray()));
  }

  @Override
  public boolean writable() {
    return writable;
  }

  @Override
  public void drained() {
    writable = true;
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
    return Usage.NONE;
  }
}
