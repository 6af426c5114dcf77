package io.jacinthquay.router.service.forward;

import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.ForwardProtocol;
import io.jacinthquay.router.port.ResponseHead;
import io.jacinthquay.runtime.http.BufferBudget;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;

/** Buffers an answer and sends it when it is complete, so that callers get no partial answer. */
final class BufferedAnswer implements AnswerSink {
  /** Maximum size of an answer in bytes; plain services usually answer with a few kilobytes. */
  private static final int MAX_BYTES = 4 << 20;

  private final ForwardProtocol protocol;
  private final Caller caller;
  private final BufferBudget.Reservation memory;
  private final Deque<ByteBuffer> parts = new ArrayDeque<>();
  private int size;
  private ResponseHead head;

  BufferedAnswer(ForwardProtocol protocol, Caller caller, BufferBudget.Reservation memory) {
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
    int newSize = size + data.remaining();
    if (newSize > MAX_BYTES || !memory.tryResize(newSize)) {
      return false;
    }
    size = newSize;
    parts.addLast(ByteBuffer.allocate(data.remaining()).put(data).flip());
    return true;
  }

  @Override
  public boolean end() {
    caller.begin(new ResponseHead(head.status(), protocol.toCaller(head)), OptionalLong.of(size));
    while (!parts.isEmpty()) {
      boolean unused = caller.write(parts.removeFirst());
    }
    discard();
    caller.end();
    return true;
  }

  @Override
  public void discard() {
    parts.clear();
    size = 0;
    head = null;
    memory.release();
  }
}
