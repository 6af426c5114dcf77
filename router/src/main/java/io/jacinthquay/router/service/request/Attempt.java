package io.jacinthquay.router.service.request;

import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.AnswerHead;
import io.jacinthquay.router.port.EventThread;
import io.jacinthquay.router.port.UpstreamCall;
import io.jacinthquay.router.port.UpstreamClient;
import io.jacinthquay.router.port.UpstreamFailure;
import io.jacinthquay.router.port.UpstreamListener;
import io.jacinthquay.router.port.UpstreamRequest;
import io.jacinthquay.router.service.dispatch.Grant;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** One try to get the answer of a request from one upstream. */
final class Attempt implements UpstreamListener {
  private static final String NOT_RUN_HEADER = "x-not-run";
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVER_ERROR = 500;
  private static final int UNAVAILABLE = 503;

  /** Hears of the end of an attempt, once. */
  interface Observer {
    /** The whole answer was passed on. */
    void completed();

    /**
     * The attempt failed.
     *
     * @param code why
     * @param bytesWritten whether any byte of the request may have reached the upstream
     * @param refused whether the upstream's answer proves that it ran nothing
     */
    void failed(ResultCode code, boolean bytesWritten, boolean refused);
  }

  private final Grant grant;
  private final AnswerRelay relay;
  private final EventThread thread;
  private final Observer observer;
  private final boolean modelWork;
  private final long stallMillis;
  private final long startedNanos = System.nanoTime();
  private UpstreamCall call;
  private Runnable cancelStallTimer = () -> {};
  private long heardNanos = startedNanos;
  private long firstDataNanos = -1;
  private boolean refused;
  private boolean over;

  Attempt(
      Grant grant,
      AnswerRelay relay,
      EventThread thread,
      Observer observer,
      boolean modelWork,
      long stallMillis) {
    this.grant = grant;
    this.relay = relay;
    this.thread = thread;
    this.observer = observer;
    this.modelWork = modelWork;
    this.stallMillis = stallMillis;
  }

  void start(UpstreamClient client, UpstreamRequest request) {
    relay.attempt();
    watchStall(stallMillis);
    call = client.send(request, this);
  }

  private void watchStall(long delayMillis) {
    if (!over) {
      cancelStallTimer = thread.after(delayMillis, this::checkStall);
    }
  }

  /** A stream that a slow caller holds up is not stalled. */
  private void checkStall() {
    long silentMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - heardNanos);
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
    // The call itself knows whether it was sent, which is asked for once the attempt has failed.
  }

  @Override
  public void onHead(AnswerHead head) {
    heardNanos = System.nanoTime();
    boolean mayRefuse = head.status() == TOO_MANY_REQUESTS || head.status() == UNAVAILABLE;
    boolean says = head.header(NOT_RUN_HEADER).map("true"::equalsIgnoreCase).orElse(false);
    if (mayRefuse && says) {
      refused = true;
      fail(ResultCode.UPSTREAM_REFUSED);
      return;
    }
    if (modelWork && (head.status() >= SERVER_ERROR || head.status() == TOO_MANY_REQUESTS)) {
      fail(ResultCode.UPSTREAM_BROKE);
      return;
    }
    relay.head(head).ifPresent(this::fail);
  }

  @Override
  public boolean onData(ByteBuffer data) {
    heardNanos = System.nanoTime();
    if (firstDataNanos < 0) {
      firstDataNanos = heardNanos - startedNanos;
    }
    Optional<ResultCode> failure = relay.data(data);
    if (failure.isPresent()) {
      fail(failure.get());
      return false;
    }
    return relay.writable();
  }

  @Override
  public void onEnd() {
    if (over) {
      return;
    }
    Optional<ResultCode> failure = relay.end();
    if (failure.isPresent()) {
      fail(failure.get());
      return;
    }
    finish();
    observer.completed();
  }

  @Override
  public void onFailure(UpstreamFailure failure) {
    switch (failure) {
      case UNREACHABLE -> fail(ResultCode.UPSTREAM_UNREACHABLE);
      case MISMATCH -> fail(ResultCode.ANSWER_MISMATCH);
      default -> fail(ResultCode.UPSTREAM_BROKE);
    }
  }

  private void fail(ResultCode code) {
    if (over) {
      return;
    }
    if (relay.complete()) {
      cancel();
      relay.end();
      observer.completed();
      return;
    }
    boolean written = call == null ? code != ResultCode.UPSTREAM_UNREACHABLE : call.mayHaveRun();
    cancel();
    observer.failed(code, written, refused);
  }

  /** Ends the attempt; the observer hears nothing more. */
  void cancel() {
    finish();
    if (call != null) {
      call.cancel();
    }
  }

  private void finish() {
    over = true;
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
