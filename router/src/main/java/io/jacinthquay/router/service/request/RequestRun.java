package io.jacinthquay.router.service.request;

import io.jacinthquay.decision.retry.FailedAttempt;
import io.jacinthquay.decision.retry.RetryDecision;
import io.jacinthquay.decision.slots.Completion;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.Outcome;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.policy.ClassPolicy;
import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.CallerListener;
import io.jacinthquay.router.port.EventThread;
import io.jacinthquay.router.service.dispatch.AttemptReport;
import io.jacinthquay.router.service.dispatch.DispatchRequest;
import io.jacinthquay.router.service.dispatch.Grant;
import io.jacinthquay.router.service.dispatch.Job;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * One request from its admission to the end of its answer.
 *
 * <p>All state changes happen on the request's own thread, so none of it is locked.
 */
final class RequestRun implements Job, CallerListener, Attempt.Observer, RelayContext.Progress {
  private final RunServices services;
  private final RequestContext context;
  private final Work work;
  private final Caller caller;
  private final RequestEnd end;
  private final AnswerRelay relay;
  private final Set<UpstreamId> failedUpstreams = new HashSet<>();
  private Optional<Attempt> attempt = Optional.empty();
  private Optional<UpstreamId> lastUpstream = Optional.empty();
  private Runnable cancelDeadline = () -> {};
  private int attempts;
  private boolean mayHaveRun;
  private boolean callerGone;
  private boolean over;
  private long firstByteNanos = -1;

  RequestRun(
      RunServices services, RequestContext context, Work work, Caller caller, RequestEnd end) {
    this.services = services;
    this.context = context;
    this.work = work;
    this.caller = caller;
    this.end = end;
    this.relay = work.relay(new RelayContext(context.id(), caller, this));
  }

  /** Begins; the caller of this method is on the request's thread. */
  void start() {
    services.active().add(this);
    caller.listener(this);
    DispatchRequest request = work.dispatchRequest();
    long leftNanos = request.endNanos() - System.nanoTime();
    long leftMillis = Math.max(0, TimeUnit.NANOSECONDS.toMillis(leftNanos));
    cancelDeadline = thread().after(leftMillis, this::deadline);
    services.dispatcher().submit(request, this);
  }

  Optional<KeyDigest> key() {
    return context.key();
  }

  @Override
  public EventThread thread() {
    return caller.thread();
  }

  @Override
  public void granted(Grant grant) {
    if (over) {
      services.dispatcher().finished(grant, report(Completion.End.UNUSED, -1));
      return;
    }
    attempts++;
    lastUpstream = Optional.of(grant.upstream());
    Attempt next =
        new Attempt(grant, relay, thread(), this, work.isModelWork(), services.stallMillis());
    attempt = Optional.of(next);
    next.start(services.upstreams(), work.upstreamRequest(grant, relay.delivered()));
  }

  @Override
  public void refused(Failure failure, long retryAfterMillis) {
    if (!over) {
      finishWith(failure, mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN, retryAfterMillis);
    }
  }

  @Override
  public void tokens(int count) {
    attempt.ifPresent(
        current -> {
          noteFirstByte(current);
          services.dispatcher().tokens(current.grant(), count);
        });
  }

  @Override
  public void cachedTokens(int count) {
    attempt.ifPresent(current -> services.dispatcher().cachedTokens(current.grant(), count));
  }

  private void noteFirstByte(Attempt current) {
    if (relay.timesFirstToken()) {
      services.dispatcher().firstToken(current.grant());
    }
    if (firstByteNanos < 0) {
      firstByteNanos = System.nanoTime() - context.arrivedNanos();
    }
  }

  @Override
  public void completed() {
    Attempt current = attempt.orElseThrow();
    attempt = Optional.empty();
    noteFirstByte(current);
    mayHaveRun = true;
    services.dispatcher().finished(current.grant(), report(Completion.End.DONE, current));
    finish(Optional.empty(), Outcome.RAN);
  }

  @Override
  public void failed(ResultCode code, boolean bytesWritten, boolean refused) {
    Attempt current = attempt.orElseThrow();
    attempt = Optional.empty();
    boolean earlier = mayHaveRun;
    mayHaveRun |= bytesWritten && !refused;
    failedUpstreams.add(current.grant().upstream());
    Completion.End how = refused ? Completion.End.REFUSED : Completion.End.FAILED;
    services.dispatcher().finished(current.grant(), report(how, current));
    FailedAttempt facts =
        new FailedAttempt(
            code,
            work.dispatchRequest().idempotent(),
            relay.resumable(),
            bytesWritten,
            refused,
            earlier,
            relay.started(),
            relay.delivered().tokens(),
            attempts,
            work.dispatchRequest().endNanos(),
            0);
    follow(services.dispatcher().afterFailure(work.dispatchRequest(), facts), code);
  }

  private void follow(RetryDecision decision, ResultCode cause) {
    if (decision instanceof RetryDecision.GiveUp giveUp) {
      finishWith(failure(giveUp.code(), cause), giveUp.outcome(), 0);
    } else if (decision instanceof RetryDecision.Retry retry) {
      submitAgain(retry.delayNanos());
    } else if (decision instanceof RetryDecision.Resume resume) {
      submitAgain(resume.delayNanos());
    }
  }

  private static Failure failure(ResultCode code, ResultCode cause) {
    return code == cause
        ? Failure.of(code)
        : Failure.of(code, code.meaning() + " Last failure: " + cause.name() + ".");
  }

  private void submitAgain(long delayNanos) {
    if (callerGone) {
      finishWith(Failure.of(ResultCode.UPSTREAM_BROKE), Outcome.UNKNOWN, 0);
      return;
    }
    DispatchRequest next = work.dispatchRequest().retry(failedUpstreams, relay.started());
    if (delayNanos <= 0) {
      services.dispatcher().submit(next, this);
      return;
    }
    long delayMillis = TimeUnit.NANOSECONDS.toMillis(delayNanos) + 1;
    Runnable unused = thread().after(delayMillis, () -> submitUnlessOver(next));
  }

  private void submitUnlessOver(DispatchRequest request) {
    if (!over) {
      services.dispatcher().submit(request, this);
    }
  }

  @Override
  public void preempt() {
    if (attempt.isEmpty()) {
      return;
    }
    Attempt current = attempt.get();
    attempt = Optional.empty();
    current.cancel();
    mayHaveRun = true;
    if (relay.started() && !relay.resumable()) {
      services.dispatcher().finished(current.grant(), report(Completion.End.PREEMPTED, current));
      finishWith(Failure.of(ResultCode.PREEMPTED), Outcome.RAN, 0);
      return;
    }
    DispatchRequest request = work.dispatchRequest();
    long remaining =
        request.placement().promptTokens()
            + Math.max(
                1, request.placement().expectedOutputTokens() - relay.usage().outputTokens());
    AttemptReport report = report(Completion.End.PREEMPTED, current);
    services.dispatcher().preempted(current.grant(), report, remaining);
  }

  @Override
  public void onWritable() {
    relay.drained();
    attempt.ifPresent(Attempt::resume);
  }

  @Override
  public void onGone() {
    callerGone = true;
    if (!over && !end.outlivesCaller()) {
      stopAttempt(Completion.End.CANCELLED);
      finish(Optional.empty(), mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN);
    }
  }

  private void deadline() {
    ResultCode code =
        attempt.isPresent() ? ResultCode.UPSTREAM_TIMEOUT : ResultCode.DEADLINE_UNREACHABLE;
    end(Failure.of(code), Completion.End.FAILED);
  }

  /** Ends the request because its key may no longer be used; may be called on any thread. */
  void endForKey(Failure refusal) {
    thread().execute(() -> end(keyFailure(refusal), Completion.End.CANCELLED));
  }

  private Failure keyFailure(Failure refusal) {
    if (attempts == 0) {
      return refusal;
    }
    return refusal.code() == ResultCode.KEYS_NOT_CURRENT
        ? Failure.of(ResultCode.KEYS_NOT_CURRENT_DURING_RUN)
        : Failure.of(ResultCode.KEY_WITHDRAWN_DURING_RUN);
  }

  /** Ends the request; may be called on any thread. */
  void endFromOutside(Failure failure) {
    thread().execute(() -> end(failure, Completion.End.CANCELLED));
  }

  private void end(Failure failure, Completion.End how) {
    if (over) {
      return;
    }
    stopAttempt(how);
    finishWith(failure, outcomeNow(), 0);
  }

  private Outcome outcomeNow() {
    if (relay.started()) {
      return Outcome.RAN;
    }
    return mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
  }

  private void stopAttempt(Completion.End how) {
    if (attempt.isEmpty()) {
      services.dispatcher().withdraw(context.id());
      return;
    }
    Attempt current = attempt.get();
    attempt = Optional.empty();
    current.cancel();
    mayHaveRun |= current.mayHaveRun();
    services.dispatcher().finished(current.grant(), report(how, current));
  }

  private void finishWith(Failure failure, Outcome outcome, long retryAfterMillis) {
    if (!callerGone) {
      if (relay.started()) {
        relay.breakOff(failure, outcome);
      } else {
        ErrorAnswers.send(caller, context.id(), failure, outcome, retryAfterMillis);
      }
    }
    finish(Optional.of(failure.code()), outcome);
  }

  private void finish(Optional<ResultCode> code, Outcome outcome) {
    if (over) {
      return;
    }
    over = true;
    cancelDeadline.run();
    services.active().remove(this);
    AnswerRelay.Usage usage = relay.usage();
    long input = usage.inputTokens();
    end.ended(
        new RequestEnd.Facts(
            code,
            outcome,
            lastUpstream,
            attempts,
            firstByteNanos,
            input >= 0 ? input : work.dispatchRequest().placement().promptTokens(),
            usage.outputTokens()),
        relay);
  }

  private AttemptReport report(Completion.End how, Attempt current) {
    return report(how, relay.timesFirstToken() ? current.firstDataNanos() : -1);
  }

  private AttemptReport report(Completion.End how, long firstTokenNanos) {
    long input = work.dispatchRequest().placement().promptTokens();
    boolean onTarget = firstByteNanos >= 0 && firstByteNanos <= allowedFirstByteNanos();
    return new AttemptReport(how, input, relay.usage().outputTokens(), firstTokenNanos, onTarget);
  }

  /** Returns how long the first byte may take; a whole answer may take the time of its tokens. */
  private long allowedFirstByteNanos() {
    ClassPolicy policy = context.classPolicy();
    double tokens = relay.timesFirstToken() ? 0 : relay.usage().outputTokens();
    double millis = policy.firstTokenMs() + tokens * policy.interTokenMs();
    return (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
  }
}
