package io.jacinthquay.router.service.forward;

import io.jacinthquay.router.port.AnswerHead;
import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.ForwardProtocol;
import io.jacinthquay.router.service.request.SseSplitter;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;

/**
 * Passes on a stream event by event.
 *
 * <p>The caller gets the head of the first attempt with its first event. A later attempt goes on
 * after the last event that was passed on; events that the caller has are left out, and a gap
 * spoils the answer.
 */
final class EventAnswer implements AnswerSink, SseSplitter.EventSink {
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  private final ForwardProtocol protocol;
  private final Caller caller;
  private final Runnable onFirst;
  private SseSplitter splitter = new SseSplitter();
  private AnswerHead head;
  private long lastId;
  private boolean numbered;
  private boolean spoilt;
  private boolean writable = true;
  private byte[] run;
  private int runFrom;
  private int runTo;

  /**
   * Returns a sink.
   *
   * @param lastId number of the last event that the caller has; empty if it has none
   * @param onFirst called when an event of an attempt was whole for the first time
   */
  EventAnswer(ForwardProtocol protocol, Caller caller, OptionalLong lastId, Runnable onFirst) {
    this.protocol = protocol;
    this.caller = caller;
    this.onFirst = onFirst;
    this.numbered = lastId.isPresent();
    this.lastId = lastId.orElse(0);
  }

  /** Returns the number of the last event that the caller has. */
  OptionalLong lastId() {
    return numbered ? OptionalLong.of(lastId) : OptionalLong.empty();
  }

  @Override
  public void head(AnswerHead answer) {
    head = answer;
  }

  @Override
  public boolean data(ByteBuffer data) {
    if (!splitter.add(data)) {
      return false;
    }
    splitter.drain(this);
    flush();
    return !spoilt;
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
  public boolean event(byte[] bytes, int from, int to) {
    long id = id(bytes, from, to);
    if (id >= 0 && numbered) {
      if (id <= lastId) {
        return true;
      }
      if (id != lastId + 1) {
        spoilt = true;
        return false;
      }
    }
    if (id >= 0) {
      numbered = true;
      lastId = id;
    }
    if (run != bytes || runTo != from) {
      flush();
      run = bytes;
      runFrom = from;
    }
    runTo = to;
    return true;
  }

  private void flush() {
    if (run == null) {
      return;
    }
    ByteBuffer events = ByteBuffer.wrap(run, runFrom, runTo - runFrom);
    run = null;
    onFirst.run();
    if (!caller.hasBegun()) {
      caller.begin(new AnswerHead(head.status(), protocol.toCaller(head)), OptionalLong.empty());
    }
    writable = caller.write(events);
  }

  /** Returns the number of an event, or -1 if it carries none. */
  private static long id(byte[] bytes, int from, int to) {
    int line = from;
    while (line < to) {
      int end = line;
      while (end < to && bytes[end] != '\n') {
        end++;
      }
      if (startsWithId(bytes, line, end)) {
        return number(bytes, line + ID_FIELD.length, end);
      }
      line = end + 1;
    }
    return -1;
  }

  private static boolean startsWithId(byte[] bytes, int from, int to) {
    if (to - from < ID_FIELD.length) {
      return false;
    }
    for (int i = 0; i < ID_FIELD.length; i++) {
      if (bytes[from + i] != ID_FIELD[i]) {
        return false;
      }
    }
    return true;
  }

  private static long number(byte[] bytes, int from, int to) {
    long value = -1;
    for (int at = from; at < to; at++) {
      if (bytes[at] >= '0' && bytes[at] <= '9') {
        value = Math.max(0, value) * 10 + (bytes[at] - '0');
      } else if (bytes[at] != ' ' && bytes[at] != '\r') {
        return -1;
      }
    }
    return value;
  }

  @Override
  public boolean end() {
    if (splitter.holdsPart() || !caller.hasBegun()) {
      return false;
    }
    caller.end();
    return true;
  }

  @Override
  public void discard() {
    splitter = new SseSplitter();
    run = null;
  }
}
