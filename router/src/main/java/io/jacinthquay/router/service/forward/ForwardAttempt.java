package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.dispatch.PromptPart;
import io.jacinthquay.decision.dispatch.SendOutcome;
import io.jacinthquay.decision.dispatch.SentRequest;
import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.decision.dispatch.UpstreamState;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.ForwardProtocol.AnswerKind;
import io.jacinthquay.router.port.ResponseHead;
import io.jacinthquay.router.port.UpstreamCall;
import io.jacinthquay.router.port.UpstreamFailure;
import io.jacinthquay.router.port.UpstreamListener;
import io.jacinthquay.router.port.UpstreamRequest;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** One send of a request to one upstream. */
final class ForwardAttempt implements UpstreamListener {
  private static final Logger log = LogManager.getLogger();

  /** HTTP status 421: the upstream at this address is not the one that the request names. */
  private static final int MISDIRECTED = 421;

  /** Time from the begin of an answer until it counts as established, in nanoseconds. */
  private static final long ESTABLISHED_NANOS = 500_000_000L;

  private static final String NO_MEMORY = "no memory is left for the answer";

  private final ForwardExchange exchange;
  private final ForwardCore core;
  private final SentRequest sending;
  private final UpstreamListing listing;
  private final Optional<SendEvidence> evidence;
  private UpstreamCall call;
  private boolean begun;
  private boolean established;
  private long begunNanos;
  private boolean inFlight = true;
  private boolean closed;
  private boolean responded;
  private boolean sent;
  private boolean provedNotExecuted;

  /**
   * Returns a send that hasn't begun.
   *
   * @param resumed whether it resumes a stream
   */
  ForwardAttempt(ForwardExchange exchange, ForwardCore core, SentRequest sending, boolean resumed) {
    this.exchange = exchange;
    this.core = core;
    this.sending = sending;
    this.listing = sending.upstream().listing();
    this.evidence = core.evidence(sending, resumed);
  }

  void send(Supplier<UpstreamRequest> request) {
    runStep(
        () -> {
          call = core.client().send(request.get(), this);
          if (closed) {
            call.cancel();
          }
        });
  }

  UpstreamState upstream() {
    return sending.upstream();
  }

  /** Returns the upstream as it was listed when the request was sent to it. */
  UpstreamListing listing() {
    return listing;
  }

  int unreadTokens() {
    return sending.unreadTokens();
  }

  /** Returns whether the request was sent and the upstream gave no proof that it did not run. */
  boolean mayHaveRun() {
    return sent && !provedNotExecuted;
  }

  /** Records that the answer began, which implies that the upstream has read the prompt. */
  void markBegun() {
    if (!begun) {
      begun = true;
      begunNanos = System.nanoTime();
      core.selector().recordPrefill(sending, begunNanos);
      evidence.ifPresent(e -> e.recordBegin(begunNanos));
    }
  }

  /** Returns whether the answer began. */
  boolean hasBegun() {
    return begun;
  }

  /** Records that events arrived, the first ones of this send included. */
  void recordEvents(int events) {
    if (begun) {
      evidence.ifPresent(e -> e.recordEvents(events, System.nanoTime()));
      recordProgress();
    }
    markBegun();
  }

  /**
   * Records that more of the answer arrived. An answer is established once it has gone on for a
   * while; an upstream that its prompt crashes fails before.
   */
  private void recordProgress() {
    if (!established && System.nanoTime() - begunNanos >= ESTABLISHED_NANOS) {
      recordEstablished();
    }
  }

  private void recordEstablished() {
    if (!established) {
      established = true;
      core.quarantine().recordEstablished(sharedParts(), System.nanoTime());
    }
  }

  /** Returns whether the answer has gone on for a while or has ended well. */
  boolean isEstablished() {
    return established;
  }

  private List<PromptPart> sharedParts() {
    return sending.work().sharedParts();
  }

  /** Records that the upstream closed the connection; it may have crashed. */
  private void recordClosed() {
    if (!established) {
      core.quarantine()
          .recordBroken(upstream().listing().upstream(), sharedParts(), System.nanoTime());
    }
  }

  /** Cancels the send unless it has ended; the upstream sees its connection close. */
  void cancel(SendOutcome end) {
    release(end);
    if (!closed) {
      closed = true;
      if (call != null) {
        call.cancel();
      }
    }
  }

  /** Discards the body, since the head of the answer is enough. */
  private void discardBody() {
    closed = true;
    call.discard();
  }

  private void recordContact() {
    responded = true;
    core.selector().recordActivity(upstream(), System.nanoTime());
  }

  /** Returns whether the upstream has sent nothing, neither for this request nor for others. */
  boolean isSilent(long now) {
    return !responded && !closed && core.selector().isSilent(upstream(), now);
  }

  private void release(SendOutcome end) {
    if (inFlight) {
      inFlight = false;
      long now = System.nanoTime();
      core.selector().recordEnd(sending, begun, end, now);
      evidence.ifPresent(e -> recordEvidence(e, end, now));
      core.capacityFreed();
    }
  }

  /** Records the end of the send; one that the caller ended shows nothing. */
  private void recordEvidence(SendEvidence observed, SendOutcome end, long now) {
    if (end == SendOutcome.SUCCEEDED) {
      observed.recordSuccess(now);
    } else if (end != SendOutcome.UNDECIDED || provedNotExecuted) {
      observed.recordMiss(now);
    }
  }

  @Override
  public void onSending() {
    sent = true;
    evidence.ifPresent(e -> e.recordOpened(System.nanoTime()));
    exchange.onSending(this);
  }

  /** Runs a step of the send; if it fails in the router itself, ends the request. */
  private void runStep(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException e) {
      log.error("request {} failed in the router", exchange.attemptId(), e);
      cancel(SendOutcome.UNDECIDED);
      exchange.giveUp(ResultCode.UPSTREAM_BROKE);
    }
  }

  @Override
  public void onHead(ResponseHead head) {
    runStep(() -> handleHead(head));
  }

  /** Returns whether a head is known to come from the upstream that the request was sent to. */
  private static boolean isFromUpstream(ResponseHead head, AnswerKind kind) {
    return kind != AnswerKind.SPOILT && head.status() != MISDIRECTED;
  }

  private void handleHead(ResponseHead head) {
    recordContact();
    AnswerKind kind = core.protocol().responseKind(head);
    if (isFromUpstream(head, kind)) {
      core.notices().record(sending, core.protocol().notice(head), System.nanoTime());
    }
    if (closed) {
      return;
    }
    switch (kind) {
      case NOT_RUN -> {
        provedNotExecuted = true;
        release(head.status() == MISDIRECTED ? SendOutcome.ENDED : SendOutcome.UNDECIDED);
        discardBody();
        exchange.onNotExecuted(head);
      }
      case SPOILT -> {
        cancel(SendOutcome.FAILED);
        exchange.onFailed(this, "invalid answer " + head.status());
      }
      case FAILURE -> {
        if (exchange.tryAcquireRetry(System.nanoTime())) {
          release(SendOutcome.FAILED);
          discardBody();
          exchange.retry("status " + head.status());
        } else {
          exchange.onHead(this, head, false);
        }
      }
      default -> exchange.onHead(this, head, true);
    }
  }

  @Override
  public boolean onData(ByteBuffer data) {
    runStep(() -> handleData(data));
    boolean accepts = closed || exchange.acceptsData();
    if (!accepts) {
      evidence.ifPresent(SendEvidence::recordPause);
    }
    return accepts;
  }

  private void handleData(ByteBuffer data) {
    recordContact();
    if (closed || exchange.onData(this, data)) {
      return;
    }
    if (exchange.isOutOfMemory()) {
      endForMemory();
    } else {
      cancel(SendOutcome.FAILED);
      exchange.onFailed(this, "invalid body");
    }
  }

  /** Ends the send as no memory is left for its answer, which says nothing of the upstream. */
  void endForMemory() {
    if (!closed) {
      cancel(SendOutcome.UNDECIDED);
      runStep(() -> exchange.onFailed(this, NO_MEMORY));
    }
  }

  /** Resumes reading once the caller has received what was written. */
  void resume() {
    if (call != null) {
      call.resume();
    }
  }

  @Override
  public void onEnd() {
    runStep(this::handleEnd);
  }

  private void handleEnd() {
    if (closed) {
      return;
    }
    closed = true;
    if (exchange.onEnd(this)) {
      if (exchange.succeeded()) {
        recordEstablished();
      }
      release(exchange.succeeded() ? SendOutcome.SUCCEEDED : SendOutcome.FAILED);
    } else {
      release(SendOutcome.FAILED);
      recordClosed();
      exchange.onFailed(this, "incomplete answer");
    }
  }

  @Override
  public void onFailure(UpstreamFailure failure) {
    runStep(() -> handleFailure(failure));
  }

  private void handleFailure(UpstreamFailure failure) {
    if (closed) {
      return;
    }
    closed = true;
    if (failure == UpstreamFailure.UNREACHABLE) {
      release(SendOutcome.UNREACHABLE);
      exchange.onUnreachable(this);
    } else if (failure == UpstreamFailure.NO_MEMORY) {
      release(SendOutcome.UNDECIDED);
      exchange.onFailed(this, NO_MEMORY);
    } else {
      release(SendOutcome.FAILED);
      if (failure == UpstreamFailure.BROKE) {
        recordClosed();
      }
      exchange.onFailed(this, failure.name());
    }
  }
}
