package io.jacinthquay.router.service.forward;

import io.jacinthquay.router.port.AnswerHead;
import io.jacinthquay.router.port.UpstreamCall;
import io.jacinthquay.router.port.UpstreamFailure;
import io.jacinthquay.router.port.UpstreamListener;
import io.jacinthquay.router.port.UpstreamRequest;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/**
 * One call to an upstream whose connection and answer a test drives.
 *
 * <p>It keeps the contract of the HTTP client: the request leaves as soon as the connection is
 * open, a call that was cancelled before never sends, and after a cancel the listener hears
 * nothing.
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
  private boolean carried;
  private boolean proven;

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

  /** Returns whether the request may have run at the upstream for all that the upstream said. */
  boolean mayHaveRunThere() {
    return carried && !proven;
  }

  void open() {
    if (state == State.CONNECTING) {
      state = State.SENT;
      carried = true;
    }
  }

  void fail(UpstreamFailure failure) {
    if (state != State.CLOSED) {
      state = State.CLOSED;
      listener.onFailure(failure);
    }
  }

  void head(AnswerHead head) {
    if (state == State.SENT) {
      state = State.ANSWERING;
      proven = head.header(PlainForwardProtocol.PROOF).isPresent();
      listener.onHead(head);
    }
  }

  void data(String text) {
    if (state == State.ANSWERING) {
      boolean more = listener.onData(ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII)));
      if (!more) {
        throw new AssertionError("this call does not pause");
      }
    }
  }

  /** The answer is whole; as with the HTTP client, the listener hears it before the call ends. */
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

  @Override
  public void resume() {
    throw new AssertionError("this call does not pause");
  }

  @Override
  public boolean mayHaveRun() {
    return carried;
  }

  @Override
  public String toString() {
    String told = proven ? " proven not run" : carried ? " carried" : "";
    return request.address().getPort() + " " + state + told;
  }
}
