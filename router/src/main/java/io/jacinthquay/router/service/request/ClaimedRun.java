package io.jacinthquay.router.service.request;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.CallerListener;
import io.jacinthquay.router.port.Claim;
import io.jacinthquay.router.port.ClaimStatus;
import io.jacinthquay.router.port.DisconnectReason;
import io.jacinthquay.router.port.Header;
import io.jacinthquay.router.port.RecordedResponse;
import io.jacinthquay.router.port.ResponseHead;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs a request that has an idempotency key.
 *
 * <p>The request runs at most once across all routers, and later requests with the same key get the
 * recorded answer.
 */
final class ClaimedRun implements RequestEndListener, CallerListener {
  private static final Logger log = LogManager.getLogger();

  /** Time between checks of a claim that another request holds, in milliseconds. */
  private static final long POLL_MILLIS = 50;

  private final RequestServices services;
  private final RequestContext context;
  private final PlainRequestSpec spec;
  private final byte[] body;
  private final Caller caller;
  private final RequestFinisher finisher;
  private Claim claim;
  private boolean callerDisconnected;

  ClaimedRun(
      RequestServices services,
      RequestContext context,
      PlainRequestSpec spec,
      byte[] body,
      Caller caller,
      RequestFinisher finisher) {
    this.services = services;
    this.context = context;
    this.spec = spec;
    this.body = body;
    this.caller = caller;
    this.finisher = finisher;
  }

  void start(String key) {
    caller.setListener(this);
    claim = new Claim(context.customer(), spec.route().name(), key, bodyDigest(), context.id());
    beginClaim();
  }

  private String bodyDigest() {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      String head = context.head().method() + " " + context.head().rawPath() + "\n";
      sha256.update(head.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(sha256.digest(body));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }

  private void beginClaim() {
    CompletionStage<Either<Failure, ClaimStatus>> answer = services.claims().begin(claim);
    answer.whenComplete(
        (standing, error) -> caller.thread().execute(() -> handleStanding(standing, error)));
  }

  private void handleStanding(Either<Failure, ClaimStatus> standing, Throwable error) {
    if (error != null) {
      refuse(Failure.of(ResultCode.CLAIM_UNAVAILABLE), Outcome.NOT_RUN);
      return;
    }
    if (standing.isLeft()) {
      refuse(standing.getLeft(), Outcome.NOT_RUN);
      return;
    }
    switch (standing.get().state()) {
      case FRESH -> run();
      case IN_PROGRESS -> pollClaim();
      case DONE -> replay(standing.get().response().orElseThrow());
      default -> refuse(Failure.of(ResultCode.CLAIM_OUTCOME_UNKNOWN), Outcome.UNKNOWN);
    }
  }

  private void run() {
    if (callerDisconnected) {
      release();
      finish(Optional.empty(), Outcome.NOT_RUN);
      return;
    }
    new RequestRun(services, context, spec, caller, this).start();
  }

  private void pollClaim() {
    if (callerDisconnected) {
      finish(Optional.empty(), Outcome.UNKNOWN);
      return;
    }
    if (System.nanoTime() - spec.dispatchRequest().endNanos() > 0) {
      refuse(Failure.of(ResultCode.CLAIM_IN_PROGRESS), Outcome.UNKNOWN);
      return;
    }
    Runnable unused = caller.thread().after(POLL_MILLIS, this::beginClaim);
  }

  private void replay(RecordedResponse answer) {
    if (!callerDisconnected) {
      List<Header> headers = new ArrayList<>(ErrorAnswers.headers(context.id(), Outcome.RAN));
      if (!answer.contentType().isEmpty()) {
        headers.add(new Header("content-type", answer.contentType()));
      }
      headers.add(new Header("x-jq-replayed", "true"));
      caller.sendResponse(new ResponseHead(answer.status(), headers), answer.body());
    }
    finish(Optional.empty(), Outcome.RAN);
  }

  private void refuse(Failure failure, Outcome outcome) {
    if (!callerDisconnected) {
      ErrorAnswers.send(caller, context.id(), failure, outcome, 0);
    }
    finish(Optional.of(failure.code()), outcome);
  }

  private void finish(Optional<ResultCode> code, Outcome outcome) {
    finisher.ended(new Summary(code, outcome, Optional.empty(), 0, -1, 0, 0), null);
  }

  /** Returns true, since the answer is recorded even if the caller has disconnected. */
  @Override
  public boolean outlivesCaller() {
    return true;
  }

  @Override
  public void ended(Summary summary, AnswerRelay relay) {
    finisher.ended(summary, relay);
    if (summary.outcome() == Outcome.NOT_RUN) {
      release();
      return;
    }
    ((PlainRelay) relay).recordedAnswer().ifPresent(this::record);
  }

  private void record(RecordedResponse answer) {
    logFailure("recorded", services.claims().complete(claim, answer));
  }

  private void release() {
    logFailure("released", services.claims().release(claim));
  }

  private void logFailure(String action, CompletionStage<Either<Failure, Void>> call) {
    call.whenComplete(
        (result, error) -> {
          if (error != null || result.isLeft()) {
            log.warn("the idempotency claim of request {} was not {}", context.id(), action);
          }
        });
  }

  @Override
  public void onWritable() {
    // Nothing has been written yet.
  }

  @Override
  public void onDisconnect(DisconnectReason reason) {
    callerDisconnected = true;
  }
}
