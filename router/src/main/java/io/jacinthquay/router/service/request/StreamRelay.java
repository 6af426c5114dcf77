package io.jacinthquay.router.service.request;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.Header;
import io.jacinthquay.router.port.ResponseHead;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Relays a stream of server-sent events.
 *
 * <p>An event is relayed only once it is complete and its id is that of the request.
 */
final class StreamRelay implements AnswerRelay {
  private static final int OK = 200;

  /** Longest text that is kept to resume a stream on another upstream, in characters. */
  private static final int MAX_RESUME_CHARS = 256 * 1024;

  private final RelayContext context;
  private final StringBuilder text = new StringBuilder();
  private SseSplitter splitter = new SseSplitter();
  private Optional<BufferedErrorAnswer> errorAnswer = Optional.empty();
  private Optional<ResultCode> failure = Optional.empty();
  private int tokens;
  private int newTokens;
  private long promptTokens = -1;
  private long completionTokens = -1;
  private boolean resumed;
  private boolean done;
  private boolean writable = true;

  StreamRelay(RelayContext context) {
    this.context = context;
  }

  @Override
  public void beginAttempt() {
    splitter = new SseSplitter();
    context.memory().release();
    failure = Optional.empty();
    errorAnswer = Optional.empty();
    resumed = tokens > 0;
  }

  @Override
  public Optional<ResultCode> onHead(ResponseHead head) {
    if (head.status() != OK) {
      if (context.caller().hasBegun()) {
        return Optional.of(ResultCode.UPSTREAM_BROKE);
      }
      errorAnswer = Optional.of(new BufferedErrorAnswer(context, head));
    }
    return Optional.empty();
  }

  @Override
  public Optional<ResultCode> onData(ByteBuffer data) {
    if (errorAnswer.isPresent()) {
      return errorAnswer.get().onData(data);
    }
    if (!holdsMemory(splitter.capacityWith(data.remaining()))) {
      return Optional.of(ResultCode.ANSWER_DROPPED);
    }
    if (!splitter.add(data)) {
      return Optional.of(ResultCode.UPSTREAM_BROKE);
    }
    newTokens = 0;
    EventBatch batch = new EventBatch();
    splitter.drain(batch);
    batch.flush();
    if (newTokens > 0) {
      context.progress().onTokens(newTokens);
    }
    if (failure.isEmpty() && !done && !holdsMemory(splitter.capacity())) {
      return Optional.of(ResultCode.ANSWER_DROPPED);
    }
    return failure;
  }

  private boolean holdsMemory(int splitterBytes) {
    long textBytes = (long) Character.BYTES * text.capacity();
    return context.memory().tryResize(splitterBytes + textBytes);
  }

  /** Merges adjacent events into a single write. */
  private final class EventBatch implements SseSplitter.EventSink {
    private byte[] bytes;
    private int from;
    private int to;

    @Override
    public boolean onEvent(byte[] source, int eventFrom, int eventTo) {
      StreamEvent event = StreamEvent.of(source, eventFrom, eventTo);
      if (!accept(event)) {
        return false;
      }
      if (isRepeatedOpening(event)) {
        return true;
      }
      if (bytes == null || to != eventFrom) {
        flush();
        bytes = source;
        from = eventFrom;
      }
      to = eventTo;
      return !done;
    }

    void flush() {
      if (bytes != null) {
        write(ByteBuffer.wrap(bytes, from, to - from));
        bytes = null;
      }
    }
  }

  private boolean accept(StreamEvent event) {
    switch (event.kind()) {
      case PART -> {
        if (!event.id().equals(context.id().value())) {
          failure = Optional.of(ResultCode.ANSWER_MISMATCH);
          return false;
        }
        recordEvent(event);
      }
      case DONE -> done = true;
      case MALFORMED -> {
        failure = Optional.of(ResultCode.UPSTREAM_BROKE);
        return false;
      }
      default -> {
        // Comments are forwarded unchanged.
      }
    }
    return true;
  }

  private void recordEvent(StreamEvent event) {
    if (event.hasText()) {
      tokens++;
      newTokens++;
      if (text.length() <= MAX_RESUME_CHARS) {
        text.append(event.text());
      }
    }
    if (event.completionTokens() >= 0) {
      promptTokens = event.promptTokens();
      completionTokens = event.completionTokens();
    }
    if (event.cachedTokens() >= 0) {
      context.progress().onCachedTokens((int) event.cachedTokens());
    }
  }

  /**
   * Returns whether the event is the opening event without tokens that a resumed stream repeats.
   */
  private boolean isRepeatedOpening(StreamEvent event) {
    boolean isOpening =
        event.kind() == StreamEvent.Kind.PART
            && !event.hasText()
            && !event.finished()
            && event.completionTokens() < 0;
    return resumed && isOpening;
  }

  private void write(ByteBuffer data) {
    if (!context.caller().hasBegun()) {
      List<Header> headers = new ArrayList<>(ErrorAnswers.headers(context.id(), Outcome.RAN));
      headers.add(new Header("content-type", "text/event-stream; charset=utf-8"));
      headers.add(new Header("cache-control", "no-cache"));
      context.caller().begin(new ResponseHead(OK, headers), OptionalLong.empty());
    }
    writable = context.caller().write(data);
  }

  @Override
  public Optional<ResultCode> onEnd() {
    if (errorAnswer.isPresent()) {
      return errorAnswer.get().onEnd();
    }
    if (!done) {
      return Optional.of(ResultCode.STREAM_TRUNCATED);
    }
    context.caller().end();
    return Optional.empty();
  }

  @Override
  public boolean complete() {
    return done;
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
    return tokens == 0 ? DeliveredOutput.NOTHING : new DeliveredOutput(tokens, text.toString());
  }

  @Override
  public boolean resumable() {
    return text.length() <= MAX_RESUME_CHARS;
  }

  @Override
  public void abort(Failure cause, Outcome outcome) {
    byte[] event = ErrorAnswers.event(context.id(), cause, outcome);
    context.caller().write(ByteBuffer.wrap(event));
    context.caller().end();
  }

  @Override
  public Usage usage() {
    long outputTokens = done && completionTokens >= 0 ? completionTokens : tokens;
    return new Usage(promptTokens, outputTokens);
  }
}
