package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.dispatch.SendEnd;
import io.jacinthquay.decision.dispatch.Sending;
import io.jacinthquay.decision.dispatch.UpstreamState;
import io.jacinthquay.router.port.AnswerHead;
import io.jacinthquay.router.port.ForwardProtocol.AnswerKind;
import io.jacinthquay.router.port.UpstreamCall;
import io.jacinthquay.router.port.UpstreamFailure;
import io.jacinthquay.router.port.UpstreamListener;
import io.jacinthquay.router.port.UpstreamRequest;
import java.nio.ByteBuffer;

/** One send of a request to one upstream. */
final class ForwardAttempt implements UpstreamListener {
  private static final int MISDIRECTED = 421;

  private final ForwardRun run;
  private final ForwardCore core;
  private final Sending sending;
  private UpstreamCall call;
  private boolean begun;
  private boolean counted = true;
  private boolean ignored;
  private boolean answered;
  private boolean sent;
  private boolean provedNotRun;

  ForwardAttempt(ForwardRun run, ForwardCore core, Sending sending) {
    this.run = run;
    this.core = core;
    this.sending = sending;
  }

  void send(UpstreamRequest request) {
    call = core.client().send(request, this);
    if (ignored) {
      call.cancel();
    }
  }

  UpstreamState upstream() {
    return sending.upstream();
  }

  int unreadTokens() {
    return sending.unreadTokens();
  }

  /** Returns whether the upstream got the request and did not prove that it didn't run it. */
  boolean mayHaveRun() {
    return sent && !provedNotRun;
  }

  /** The upstream began to answer, so it has read the prompt. */
  void begun() {
    if (!begun) {
      begun = true;
      core.board().begun(sending, System.nanoTime());
    }
  }

  /** Ends the send early, unless it has ended; the upstream notices by the closed connection. */
  void cancel(SendEnd end) {
    count(end);
    if (!ignored) {
      ignored = true;
      if (call != null) {
        call.cancel();
      }
    }
  }

  /** The answer's head told all that is needed. */
  private void dropRest() {
    ignored = true;
    call.discard();
  }

  private void heard() {
    answered = true;
    core.board().heard(upstream(), System.nanoTime());
  }

  /** Returns whether nothing came from the upstream, to this request and to others. */
  boolean isSilent(long now) {
    return !answered && !ignored && core.board().isSilent(upstream(), now);
  }

  private void count(SendEnd end) {
    if (counted) {
      counted = false;
      core.board().ended(sending, begun, end, System.nanoTime());
      core.placeFreed();
    }
  }

  @Override
  public void onSending() {
    sent = true;
    run.sending(this);
  }

  @Override
  public void onHead(AnswerHead head) {
    heard();
    if (ignored) {
      return;
    }
    AnswerKind kind = core.protocol().kind(head);
    switch (kind) {
      case NOT_RUN -> {
        provedNotRun = true;
        count(head.status() == MISDIRECTED ? SendEnd.ENDED : SendEnd.UNDECIDED);
        dropRest();
        run.notRun(head);
      }
      case SPOILT -> {
        cancel(SendEnd.FAILED);
        run.failed(this, "spoilt answer " + head.status());
      }
      case FAILURE -> {
        if (run.mayRepeat(System.nanoTime())) {
          count(SendEnd.FAILED);
          dropRest();
          run.repeat("status " + head.status());
        } else {
          run.answering(this, head, false);
        }
      }
      default -> run.answering(this, head, true);
    }
  }

  @Override
  public boolean onData(ByteBuffer data) {
    heard();
    if (!ignored && !run.data(this, data)) {
      cancel(SendEnd.FAILED);
      run.failed(this, "spoilt body");
    }
    return ignored || run.takesMore();
  }

  /** Reads on after the caller has taken what it was sent. */
  void resume() {
    if (call != null) {
      call.resume();
    }
  }

  @Override
  public void onEnd() {
    if (ignored) {
      return;
    }
    ignored = true;
    if (run.end(this)) {
      count(run.succeeded() ? SendEnd.SUCCEEDED : SendEnd.FAILED);
    } else {
      count(SendEnd.FAILED);
      run.failed(this, "answer ended early");
    }
  }

  @Override
  public void onFailure(UpstreamFailure failure) {
    if (ignored) {
      return;
    }
    ignored = true;
    if (failure == UpstreamFailure.UNREACHABLE) {
      count(SendEnd.UNREACHABLE);
      run.unreachable(this);
    } else {
      count(SendEnd.FAILED);
      run.failed(this, failure.name());
    }
  }
}
