package io.jacinthquay.router.service.request;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.AnswerHead;
import io.jacinthquay.router.port.Header;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Relays a stream of server-sent events, each only when it has wholly arrived and names the
 * request.
 */
final class StreamRelay implements AnswerRelay {
  private static final int OK = 200;

  /** Longest text that is kept to continue a broken stream, in characters. */
  private static final int MAX_RESUME_CHARS = 256 * 1024;

  private final RelayContext context;
  private final StringBuilder text = new StringBuilder();
  private SseSplitter splitter = new SseSplitter();
  private Optional<ErrorPass> errorPass = Optional.empty();
  private Optional<ResultCode> failure = Optional.empty();
  private int tokens;
  private int runLength;
  private long promptTokens = -1;
  private long completionTokens = -1;
  private boolean resumed;
  private boolean done;
  private boolean writable = true;

  StreamRelay(RelayContext context) {
    this.context = context;
  }

  @Override
  public void attempt() {
    splitter = new SseSplitter();
    failure = Optional.empty();
    errorPass = Optional.empty();
    resumed = tokens > 0;
  }

  @Override
  public Optional<ResultCode> head(AnswerHead head) {
    if (head.status() != OK) {
      if (context.caller().hasBegun()) {
        return Optional.of(ResultCode.UPSTREAM_BROKE);
      }
      errorPass = Optional.of(new ErrorPass(context, head));
    }
    return Optional.empty();
  }

  @Override
  public Optional<ResultCode> data(ByteBuffer data) {
    if (errorPass.isPresent()) {
      return errorPass.get().data(data);
    }
    if (!splitter.add(data)) {
      return Optional.of(ResultCode.UPSTREAM_BROKE);
    }
    runLength = 0;
    EventRun run = new EventRun();
    splitter.drain(run);
    run.flush();
    if (runLength > 0) {
      context.progress().tokens(runLength);
    }
    return failure;
  }

  /** Joins neighbouring events, so that they are written at once. */
  private final class EventRun implements SseSplitter.EventSink {
    private byte[] bytes;
    private int from;
    private int to;

    @Override
    public boolean event(byte[] source, int eventFrom, int eventTo) {
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
        count(event);
      }
      case DONE -> done = true;
      case MALFORMED -> {
        failure = Optional.of(ResultCode.UPSTREAM_BROKE);
        return false;
      }
      default -> {
        // Comments pass as they are.
      }
    }
    return true;
  }

  private void count(StreamEvent event) {
    if (!event.text().isEmpty()) {
      tokens++;
      runLength++;
      if (text.length() <= MAX_RESUME_CHARS) {
        text.append(event.text());
      }
    }
    if (event.completionTokens() >= 0) {
      promptTokens = event.promptTokens();
      completionTokens = event.completionTokens();
    }
    if (event.cachedTokens() >= 0) {
      context.progress().cachedTokens((int) event.cachedTokens());
    }
  }

  /** A continued stream opens once more with an event that holds no token. */
  private boolean isRepeatedOpening(StreamEvent event) {
    boolean opening =
        event.kind() == StreamEvent.Kind.PART
            && event.text().isEmpty()
            && !event.finished()
            && event.completionTokens() < 0;
    return resumed && opening;
  }

  private void write(ByteBuffer data) {
    if (!context.caller().hasBegun()) {
      List<Header> headers = new ArrayList<>(ErrorAnswers.headers(context.id(), Outcome.RAN));
      headers.add(new Header("content-type", "text/event-stream; charset=utf-8"));
      headers.add(new Header("cache-control", "no-cache"));
      context.caller().begin(new AnswerHead(OK, headers), OptionalLong.empty());
    }
    writable = context.caller().write(data);
  }

  @Override
  public Optional<ResultCode> end() {
    if (errorPass.isPresent()) {
      return errorPass.get().end();
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
  public void drained() {
    writable = true;
  }

  @Override
  public boolean started() {
    return context.caller().hasBegun();
  }

  @Override
  public Delivered delivered() {
    return tokens == 0 ? Delivered.NOTHING : new Delivered(tokens, text.toString());
  }

  @Override
  public boolean resumable() {
    return text.length() <= MAX_RESUME_CHARS;
  }

  @Override
  public void breakOff(Failure cause, Outcome outcome) {
    byte[] event = ErrorAnswers.event(context.id(), cause, outcome);
    context.caller().write(ByteBuffer.wrap(event));
    context.caller().end();
  }

  @Override
  public Usage usage() {
    long given = done && completionTokens >= 0 ? completionTokens : tokens;
    return new Usage(promptTokens, given);
  }
}
