package io.jacinthquay.router.service.request;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.router.port.AnswerHead;
import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.CallerListener;
import io.jacinthquay.router.port.Claim;
import io.jacinthquay.router.port.ClaimStanding;
import io.jacinthquay.router.port.Header;
import io.jacinthquay.router.port.RecordedAnswer;
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
 * A request with an idempotency key: it runs once over all routers, and its recorded answer is
 * replayed.
 */
final class ClaimedRun implements RequestEnd, CallerListener {
  private static final Logger log = LogManager.getLogger();
  private static final long POLL_MILLIS = 50;

  private final RunServices services;
  private final RequestContext context;
  private final PlainWork work;
  private final byte[] body;
  private final Caller caller;
  private final RunEnd end;
  private Claim claim;
  private boolean callerGone;

  ClaimedRun(
      RunServices services,
      RequestContext context,
      PlainWork work,
      byte[] body,
      Caller caller,
      RunEnd end) {
    this.services = services;
    this.context = context;
    this.work = work;
    this.body = body;
    this.caller = caller;
    this.end = end;
  }

  void start(String key) {
    caller.listener(this);
    claim = new Claim(context.customer(), work.route().name(), key, digest(), context.id());
    begin();
  }

  private String digest() {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      String head = context.head().method() + " " + context.head().rawPath() + "\n";
      sha256.update(head.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(sha256.digest(body));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is missing", e);
    }
  }

  private void begin() {
    CompletionStage<Either<Failure, ClaimStanding>> answer = services.claims().begin(claim);
    answer.whenComplete(
        (standing, error) -> caller.thread().execute(() -> follow(standing, error)));
  }

  private void follow(Either<Failure, ClaimStanding> standing, Throwable error) {
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
      case IN_PROGRESS -> waitForOther();
      case DONE -> replay(standing.get().answer().orElseThrow());
      default -> refuse(Failure.of(ResultCode.CLAIM_OUTCOME_UNKNOWN), Outcome.UNKNOWN);
    }
  }

  private void run() {
    if (callerGone) {
      release();
      finish(Optional.empty(), Outcome.NOT_RUN);
      return;
    }
    new RequestRun(services, context, work, caller, this).start();
  }

  private void waitForOther() {
    if (callerGone) {
      finish(Optional.empty(), Outcome.UNKNOWN);
      return;
    }
    if (System.nanoTime() - work.dispatchRequest().endNanos() > 0) {
      refuse(Failure.of(ResultCode.CLAIM_IN_PROGRESS), Outcome.UNKNOWN);
      return;
    }
    Runnable unused = caller.thread().after(POLL_MILLIS, this::begin);
  }

  private void replay(RecordedAnswer answer) {
    if (!callerGone) {
      List<Header> headers = new ArrayList<>(ErrorAnswers.headers(context.id(), Outcome.RAN));
      if (!answer.contentType().isEmpty()) {
        headers.add(new Header("content-type", answer.contentType()));
      }
      headers.add(new Header("x-jq-replayed", "true"));
      caller.answer(new AnswerHead(answer.status(), headers), answer.body());
    }
    finish(Optional.empty(), Outcome.RAN);
  }

  private void refuse(Failure failure, Outcome outcome) {
    if (!callerGone) {
      ErrorAnswers.send(caller, context.id(), failure, outcome, 0);
    }
    finish(Optional.of(failure.code()), outcome);
  }

  private void finish(Optional<ResultCode> code, Outcome outcome) {
    end.ended(new Facts(code, outcome, Optional.empty(), 0, -1, 0, 0), null);
  }

  /** An answer that may have run is recorded even if nobody waits for it. */
  @Override
  public boolean outlivesCaller() {
    return true;
  }

  @Override
  public void ended(Facts facts, AnswerRelay relay) {
    end.ended(facts, relay);
    if (facts.outcome() == Outcome.NOT_RUN) {
      release();
      return;
    }
    ((PlainRelay) relay).recorded().ifPresent(this::record);
  }

  private void record(RecordedAnswer answer) {
    logFailure("recorded", services.claims().complete(claim, answer));
  }

  private void release() {
    logFailure("released", services.claims().release(claim));
  }

  private void logFailure(String what, CompletionStage<Either<Failure, Void>> call) {
    call.whenComplete(
        (result, error) -> {
          if (error != null || result.isLeft()) {
            log.warn("the claim of request {} was not {}", context.id(), what);
          }
        });
  }

  @Override
  public void onWritable() {
    // Nothing was written yet.
  }

  @Override
  public void onGone() {
    callerGone = true;
  }
}
