package io.jacinthquay.router.service.forward;

import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.ForwardProtocol;
import io.jacinthquay.router.port.ResponseHead;
import io.jacinthquay.router.service.request.SseSplitter;
import io.jacinthquay.runtime.http.AnswerMemory;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.function.IntConsumer;

/**
 * Forwards an event stream to the caller, event by event.
 *
 * <p>The caller gets the head of the first attempt together with its first event. A later attempt
 * continues after the last event that was forwarded: events that the caller already has are
 * skipped, and a gap in the event ids makes the answer invalid. So does an event without an id
 * after one with an id: its place in the stream isn't known, and it may be no event at all but the
 * text of an error.
 */
final class EventStreamAnswer implements AnswerSink, SseSplitter.EventSink {
  private static final String CONTENT_TYPE = "Content-Type";
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  private final ForwardProtocol protocol;
  private final Caller caller;
  private final AnswerMemory.Holding memory;
  private final IntConsumer onEvents;
  private SseSplitter splitter = new SseSplitter();
  private ResponseHead head;
  private boolean reachedLastId;
  private long lastId;
  private boolean hasLastId;
  private boolean invalid;
  private boolean writable = true;
  private byte[] pending;
  private int pendingFrom;
  private int pendingTo;
  private int pendingEvents;

  /**
   * Returns a sink.
   *
   * @param lastId id of the last event that the caller has; empty if it has none
   * @param memory for events that are incomplete
   * @param onEvents called with the number of events each time just before complete ones are
   *     written to the caller
   */
  EventStreamAnswer(
      ForwardProtocol protocol,
      Caller caller,
      OptionalLong lastId,
      AnswerMemory.Holding memory,
      IntConsumer onEvents) {
    this.memory = memory;
    this.protocol = protocol;
    this.caller = caller;
    this.onEvents = onEvents;
    this.hasLastId = lastId.isPresent();
    this.lastId = lastId.orElse(0);
  }

  /** Returns the id of the last event that the caller has. */
  OptionalLong lastId() {
    return hasLastId ? OptionalLong.of(lastId) : OptionalLong.empty();
  }

  @Override
  public boolean head(ResponseHead answerHead) {
    reachedLastId = false;
    if (!caller.hasBegun()) {
      head = answerHead;
      return true;
    }
    return answerHead.status() == head.status()
        && answerHead.header(CONTENT_TYPE).equals(head.header(CONTENT_TYPE));
  }

  @Override
  public boolean data(ByteBuffer data) {
    if (!memory.tryResize(splitter.capacityWith(data.remaining())) || !splitter.add(data)) {
      return false;
    }
    splitter.drain(this);
    flush();
    return memory.tryResize(splitter.capacity()) && !invalid;
  }

  @Override
  public boolean isOutOfMemory() {
    return memory.isGivenUp();
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
  public boolean onEvent(byte[] bytes, int from, int to) {
    long id = eventId(bytes, from, to);
    if (id < 0 && hasLastId && !isComment(bytes, from, to)) {
      invalid = true;
      return false;
    }
    if (id >= 0 && hasLastId) {
      if (id <= lastId) {
        reachedLastId |= id == lastId;
        return true;
      }
      if (id != lastId + 1) {
        invalid = true;
        return false;
      }
    }
    if (id >= 0) {
      hasLastId = true;
      lastId = id;
    }
    reachedLastId |= id >= 0 || !hasLastId;
    if (pending != bytes || pendingTo != from) {
      flush();
      pending = bytes;
      pendingFrom = from;
    }
    pendingTo = to;
    pendingEvents++;
    return true;
  }

  private void flush() {
    if (pending == null) {
      return;
    }
    ByteBuffer events = ByteBuffer.wrap(pending, pendingFrom, pendingTo - pendingFrom);
    pending = null;
    onEvents.accept(pendingEvents);
    pendingEvents = 0;
    if (!caller.hasBegun()) {
      caller.begin(new ResponseHead(head.status(), protocol.toCaller(head)), OptionalLong.empty());
    }
    writable = caller.write(events);
  }

  /** Returns whether all lines of an event are empty or comments, which begin with a colon. */
  private static boolean isComment(byte[] bytes, int from, int to) {
    boolean lineStart = true;
    for (int at = from; at < to; at++) {
      boolean lineEnd = bytes[at] == '\n' || bytes[at] == '\r';
      if (lineStart && !lineEnd && bytes[at] != ':') {
        return false;
      }
      lineStart = lineEnd;
    }
    return true;
  }

  /** Returns the id of an event, or -1 if it has none. */
  private static long eventId(byte[] bytes, int from, int to) {
    int line = from;
    while (line < to) {
      int end = line;
      while (end < to && bytes[end] != '\n') {
        end++;
      }
      if (isIdField(bytes, line, end)) {
        return parseId(bytes, line + ID_FIELD.length, end);
      }
      line = end + 1;
    }
    return -1;
  }

  private static boolean isIdField(byte[] bytes, int from, int to) {
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

  private static long parseId(byte[] bytes, int from, int to) {
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
    if (splitter.hasRemaining() || !reachedLastId) {
      return false;
    }
    caller.end();
    return true;
  }

  @Override
  public void discard() {
    splitter = new SseSplitter();
    memory.release();
    pending = null;
    pendingEvents = 0;
    invalid = false;
  }
}
