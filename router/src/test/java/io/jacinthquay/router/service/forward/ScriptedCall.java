package io.jacinthquay.router.service.forward;

import io.jacinthquay.router.port.ResponseHead;
import io.jacinthquay.router.port.UpstreamCall;
import io.jacinthquay.router.port.UpstreamFailure;
import io.jacinthquay.router.port.UpstreamListener;
import io.jacinthquay.router.port.UpstreamRequest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * A call to an upstream whose connection and answer a test controls.
 *
 * <p>It follows the contract of the HTTP client: the request is sent as soon as the connection is
 * open, unless the call was cancelled before, and a cancelled call does not notify its listener.
 */
final class ScriptedCall implements UpstreamCall {
  enum State {
    CONNECTING,
    SENT,
    ANSWERING,
    CLOSED
  }

  private final UpstreamRequest request;
  private final UpstreamListener listener;
  private State state = State.CONNECTING;
  private boolean requestSent;
  private boolean provenNotRun;

  ScriptedCall(UpstreamRequest request, UpstreamListener listener) {
    this.request = request;
    this.listener = listener;
  }

  String requestId() {
    return request.id().value();
  }

  State state() {
    return state;
  }

  /** Returns whether the request was sent and the upstream gave no proof that it did not run. */
  boolean mayHaveRunThere() {
    return requestSent && !provenNotRun;
  }

  void open() {
    if (state == State.CONNECTING) {
      state = State.SENT;
      requestSent = true;
      listener.onSending();
    }
  }

  void fail(UpstreamFailure failure) {
    if (state != State.CLOSED) {
      state = State.CLOSED;
      listener.onFailure(failure);
    }
  }

  void head(ResponseHead head) {
    if (state == State.SENT) {
      state = State.ANSWERING;
      provenNotRun = head.header(MinimalForwardProtocol.PROOF).isPresent();
      listener.onHead(head);
    }
  }

  void data(String text) {
    if (state == State.ANSWERING) {
      boolean more = listener.onData(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)));
      if (!more) {
        throw new AssertionError("a scripted call does not pause");
      }
    }
  }

  /** Completes the answer; like the HTTP client, it notifies the listener before the call ends. */
  void end() {
    if (state == State.ANSWERING) {
      listener.onEnd();
      state = State.CLOSED;
    }
  }

  @Override
  public void cancel() {
    state = State.CLOSED;
  }

  /** Closes the call; what the HTTP client may still read is not delivered. */
  @Override
  public void discard() {
    state = State.CLOSED;
  }

  @Override
  public void resume() {
    throw new AssertionError("a scripted call does not pause");
  }

  @Override
  public boolean mayHaveRun() {
    return requestSent;
  }

  @Override
  public String toString() {
    String suffix = provenNotRun ? " proven not run" : requestSent ? " carried" : "";
    return request.address().getPort() + " " + state + suffix;
  }
}
