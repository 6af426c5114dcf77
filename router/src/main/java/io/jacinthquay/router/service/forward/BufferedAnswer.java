package io.jacinthquay.router.service.forward;

import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.ForwardProtocol;
import io.jacinthquay.router.port.ResponseHead;
import io.jacinthquay.runtime.http.AnswerMemory;
import io.jacinthquay.runtime.http.BodyBuffer;
import java.nio.ByteBuffer;
import java.util.OptionalLong;

/** Buffers an answer and sends it when it is complete, so that callers get no partial answer. */
final class BufferedAnswer implements AnswerSink {
  /** Maximum size of an answer in bytes; plain services usually answer with a few kilobytes. */
  private static final int MAX_BYTES = 4 << 20;

  private final ForwardProtocol protocol;
  private final Caller caller;
  private final AnswerMemory.Holding memory;
  private final BodyBuffer body = new BodyBuffer(MAX_BYTES);
  private ResponseHead head;

  BufferedAnswer(ForwardProtocol protocol, Caller caller, AnswerMemory.Holding memory) {
    this.protocol = protocol;
    this.caller = caller;
    this.memory = memory;
  }

  @Override
  public boolean head(ResponseHead answerHead) {
    head = answerHead;
    return true;
  }

  @Override
  public boolean data(ByteBuffer data) {
    return body.size() + data.remaining() <= MAX_BYTES && body.tryAdd(data, memory);
  }

  @Override
  public boolean isOutOfMemory() {
    return memory.isGivenUp();
  }

  @Override
  public boolean end() {
    caller.begin(
        new ResponseHead(head.status(), protocol.toCaller(head)), OptionalLong.of(body.size()));
    body.drainTo(caller::write);
    discard();
    caller.end();
    return true;
  }

  @Override
  public void discard() {
    body.clear();
    head = null;
    memory.release();
  }
}
