package io.jacinthquay.router.service.request;

import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.Header;
import io.jacinthquay.router.port.ResponseHead;
import io.jacinthquay.runtime.http.BodyBuffer;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Buffers an error answer of an engine and forwards it once it is complete. */
final class BufferedErrorAnswer {
  /** Largest error answer that is forwarded, in bytes. */
  private static final int MAX_BYTES = 64 * 1024;

  private final RelayContext context;
  private final ResponseHead head;
  private final BodyBuffer body = new BodyBuffer(MAX_BYTES);

  BufferedErrorAnswer(RelayContext context, ResponseHead head) {
    this.context = context;
    this.head = head;
  }

  Optional<ResultCode> onData(ByteBuffer data) {
    if (body.size() + data.remaining() > MAX_BYTES) {
      return Optional.of(ResultCode.UPSTREAM_BROKE);
    }
    return body.tryAdd(data, context.memory())
        ? Optional.empty()
        : Optional.of(ResultCode.ANSWER_DROPPED);
  }

  Optional<ResultCode> onEnd() {
    List<Header> headers = new ArrayList<>(ErrorAnswers.headers(context.id(), Outcome.UNKNOWN));
    headers.addAll(HeaderRules.toCaller(head.headers()));
    context.caller().begin(new ResponseHead(head.status(), headers), OptionalLong.of(body.size()));
    context.caller().write(ByteBuffer.wrap(body.takeAll()));
    context.caller().end();
    return Optional.empty();
  }
}
