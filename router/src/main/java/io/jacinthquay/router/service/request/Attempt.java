package io.jacinthquay.router.service.request;

import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.ArrivalTimer;
import io.jacinthquay.router.port.EventThread;
import io.jacinthquay.router.port.ResponseHead;
import io.jacinthquay.router.port.UpstreamCall;
import io.jacinthquay.router.port.UpstreamClient;
import io.jacinthquay.router.port.UpstreamFailure;
import io.jacinthquay.router.port.UpstreamListener;
import io.jacinthquay.router.port.UpstreamRequest;
import io.jacinthquay.router.service.dispatch.Grant;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** One attempt to run a request on one upstream. */
final class Attempt implements UpstreamListener {
  private static final String NOT_RUN_HEADER = "x-not-run";
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVER_ERROR = 500;
  private static final int UNAVAILABLE = 503;

  /** Receives the result of an attempt, at most once. */
  interface Observer {
    /** Called when the whole answer was sent to the caller. */
    void completed();

    /**
     * Called when the attempt failed.
     *
     * @param code the cause
     * @param bytesWritten whether any byte of the request may have reached the upstream
     * @param refused whether the upstream's answer proves that it ran nothing
     */
    void failed(ResultCode code, boolean bytesWritten, boolean refused);
  }

  private final Grant grant;
  private final AnswerRelay relay;
  private final EventThread thread;
  private final Observer observer;
  private final boolean modelRequest;
  private final long stallMillis;
  private final long startedNanos = System.nanoTime();
  private UpstreamCall call;
  private Runnable cancelStallTimer = () -> {};
  private long lastActivityNanos = startedNanos;
  private long firstDataNanos = -1;
  private boolean refused;
  private boolean ended;

  Attempt(
      Grant grant,
      AnswerRelay relay,
      EventThread thread,
      Observer observer,
      boolean modelRequest,
      long stallMillis) {
    this.grant = grant;
    this.relay = relay;
    this.thread = thread;
    this.observer = observer;
    this.modelRequest = modelRequest;
    this.stallMillis = stallMillis;
  }

  void start(UpstreamClient client, UpstreamRequest request) {
    relay.beginAttempt();
    watchStall(stallMillis);
    call = client.send(request, this);
  }

  private void watchStall(long delayMillis) {
    if (!ended) {
      cancelStallTimer = ArrivalTimer.after(thread, delayMillis, this::checkStall);
    }
  }

  /** Fails a silent upstream; a stream that is paused for a slow caller is not stalled. */
  private void checkStall() {
    long silentMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - lastActivityNanos);
    if (relay.writable() && silentMillis >= stallMillis) {
      fail(ResultCode.UPSTREAM_TIMEOUT);
    } else {
      watchStall(relay.writable() ? stallMillis - silentMillis : stallMillis);
    }
  }

  Grant grant() {
    return grant;
  }

  /** Returns the time from sending to the first data, in nanoseconds; negative if none came. */
  long firstDataNanos() {
    return firstDataNanos;
  }

  @Override
  public void onSending() {
    // The call tracks whether bytes were sent; it is queried once the attempt has failed.
  }

  @Override
  public void onHead(ResponseHead head) {
    lastActivityNanos = System.nanoTime();
    boolean mayRefuse = head.status() == TOO_MANY_REQUESTS || head.status() == UNAVAILABLE;
    boolean declaresNotRun =
        head.header(NOT_RUN_HEADER).map("true"::equalsIgnoreCase).orElse(false);
    if (mayRefuse && declaresNotRun) {
      refused = true;
      fail(ResultCode.UPSTREAM_REFUSED);
      return;
    }
    if (modelRequest && (head.status() >= SERVER_ERROR || head.status() == TOO_MANY_REQUESTS)) {
      fail(ResultCode.UPSTREAM_BROKE);
      return;
    }
    relay.onHead(head).ifPresent(this::fail);
  }

  @Override
  public boolean onData(ByteBuffer data) {
    lastActivityNanos = System.nanoTime();
    if (firstDataNanos < 0) {
      firstDataNanos = lastActivityNanos - startedNanos;
    }
    Optional<ResultCode> failure = relay.onData(data);
    if (failure.isPresent()) {
      fail(failure.get());
      return false;
    }
    return relay.writable();
  }

  @Override
  public void onEnd() {
    if (ended) {
      return;
    }
    Optional<ResultCode> failure = relay.onEnd();
    if (failure.isPresent()) {
      fail(failure.get());
      return;
    }
    markEnded();
    observer.completed();
  }

  @Override
  public void onFailure(UpstreamFailure failure) {
    switch (failure) {
      case UNREACHABLE -> fail(ResultCode.UPSTREAM_UNREACHABLE);
      case MISMATCH -> fail(ResultCode.ANSWER_MISMATCH);
      case NO_MEMORY -> fail(ResultCode.ANSWER_DROPPED);
      default -> fail(ResultCode.UPSTREAM_BROKE);
    }
  }

  /** Ends the attempt, whose answer was given up for those of others. */
  void endForMemory() {
    fail(ResultCode.ANSWER_DROPPED);
  }

  private void fail(ResultCode code) {
    if (ended) {
      return;
    }
    if (relay.complete()) {
      cancel();
      relay.onEnd();
      observer.completed();
      return;
    }
    boolean bytesWritten =
        call == null ? code != ResultCode.UPSTREAM_UNREACHABLE : call.mayHaveRun();
    cancel();
    observer.failed(code, bytesWritten, refused);
  }

  /** Cancels the attempt without notifying the observer. */
  void cancel() {
    markEnded();
    if (call != null) {
      call.cancel();
    }
  }

  private void markEnded() {
    ended = true;
    cancelStallTimer.run();
  }

  /** Returns whether a byte of the request may have reached the upstream. */
  boolean mayHaveRun() {
    return call != null && call.mayHaveRun();
  }

  void resume() {
    if (call != null) {
      call.resume();
    }
  }
}
