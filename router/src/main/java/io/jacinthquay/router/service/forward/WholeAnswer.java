package io.jacinthquay.router.service.forward;

import io.jacinthquay.router.port.AnswerHead;
import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.ForwardProtocol;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.OptionalLong;

/** Passes on a whole answer at once, so that one that breaks off reaches nobody. */
final class WholeAnswer implements AnswerSink {
  /** Largest answer that is held, in bytes; plain services answer with a few kilobytes. */
  private static final int MOST_BYTES = 4 << 20;

  private final ForwardProtocol protocol;
  private final Caller caller;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream(0);
  private AnswerHead head;

  WholeAnswer(ForwardProtocol protocol, Caller caller) {
    this.protocol = protocol;
    this.caller = caller;
  }

  @Override
  public void head(AnswerHead answer) {
    head = answer;
  }

  @Override
  public boolean data(ByteBuffer data) {
    byte[] bytes = new byte[data.remaining()];
    data.get(bytes);
    body.writeBytes(bytes);
    return body.size() <= MOST_BYTES;
  }

  @Override
  public boolean end() {
    caller.begin(
        new AnswerHead(head.status(), protocol.toCaller(head)), OptionalLong.of(body.size()));
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
