package io.jacinthquay.router.service.forward;

import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.ForwardProtocol;
import io.jacinthquay.router.port.ResponseHead;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.OptionalLong;

/** Buffers an answer and sends it when it is complete, so that callers get no partial answer. */
final class BufferedAnswer implements AnswerSink {
  /** Maximum size of an answer in bytes; plain services usually answer with a few kilobytes. */
  private static final int MAX_BYTES = 4 << 20;

  private final ForwardProtocol protocol;
  private final Caller caller;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
  private ResponseHead head;

  BufferedAnswer(ForwardProtocol protocol, Caller caller) {
    this.protocol = protocol;
    this.caller = caller;
  }

  @Override
  public boolean head(ResponseHead answerHead) {
    head = answerHead;
    return true;
  }

  @Override
  public boolean data(ByteBuffer data) {
    byte[] bytes = new byte[data.remaining()];
    data.get(bytes);
    body.writeBytes(bytes);
    return body.size() <= MAX_BYTES;
  }

  @Override
  public boolean end() {
    caller.begin(
        new ResponseHead(head.status(), protocol.toCaller(head)), OptionalLong.of(body.size()));
    if (body.size() > 0) {
      boolean unused = caller.write(ByteBuffer.wrap(body.toByteArray()));
    }
    caller.end();
    return true;
  }

  @Override
  public void discard() {
    body.reset();
    head = null;
  }
}
