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
import io.jacinthquay.router.port.DisconnectReason;
import io.jacinthquay.router.port.EventThread;
import io.jacinthquay.router.service.dispatch.AttemptReport;
import io.jacinthquay.router.service.dispatch.DispatchListener;
import io.jacinthquay.router.service.dispatch.DispatchRequest;
import io.jacinthquay.router.service.dispatch.Grant;
import io.jacinthquay.runtime.http.AnswerMemory;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Runs one admitted request until the end of its answer.
 *
 * <p>All state is confined to the request's event thread, so no locking is needed.
 */
final class RequestRun
    implements DispatchListener, CallerListener, Attempt.Observer, RelayContext.ProgressListener {
  /** Bytes that an answer may hold while others hold all of the memory; usual ones are smaller. */
  private static final int SMALL_ANSWER_BYTES = 32 * 1024;

  private final RequestServices services;
  private final RequestContext context;
  private final RequestSpec spec;
  private final Caller caller;
  private final RequestEndListener endListener;
  private final AnswerRelay relay;
  private final AnswerMemory.Holding answerMemory;
  private final Set<UpstreamId> failedUpstreams = new HashSet<>();
  private Optional<Attempt> attempt = Optional.empty();
  private Optional<UpstreamId> lastUpstream = Optional.empty();
  private Runnable cancelDeadline = () -> {};
  private int attempts;
  private boolean mayHaveRun;
  private boolean callerDisconnected;
  private boolean ended;
  private long firstByteNanos = -1;

  RequestRun(
      RequestServices services,
      RequestContext context,
      RequestSpec spec,
      Caller caller,
      RequestEndListener endListener) {
    this.services = services;
    this.context = context;
    this.spec = spec;
    this.caller = caller;
    this.endListener = endListener;
    this.answerMemory =
        services
            .answerMemory()
            .newHolding(
                SMALL_ANSWER_BYTES, thread(), () -> attempt.ifPresent(Attempt::endForMemory));
    this.relay = spec.relay(new RelayContext(context.id(), caller, this, answerMemory));
  }

  /** Starts the request; must be called on the request's thread. */
  void start() {
    services.active().add(this);
    caller.setListener(this);
    DispatchRequest request = spec.dispatchRequest();
    long remainingNanos = request.endNanos() - System.nanoTime();
    long remainingMillis = Math.max(0, TimeUnit.NANOSECONDS.toMillis(remainingNanos));
    cancelDeadline = thread().after(remainingMillis, this::onDeadline);
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
    if (ended) {
      services.dispatcher().recordEnd(grant, report(Completion.End.UNUSED, -1));
      return;
    }
    attempts++;
    lastUpstream = Optional.of(grant.upstream());
    Attempt next =
        new Attempt(grant, relay, thread(), this, spec.isModelRequest(), services.stallMillis());
    attempt = Optional.of(next);
    next.start(services.upstreams(), spec.upstreamRequest(grant, relay.delivered()));
  }

  @Override
  public void refused(Failure failure, long retryAfterMillis) {
    if (!ended) {
      finishWith(failure, mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN, retryAfterMillis);
    }
  }

  @Override
  public void onTokens(int count) {
    attempt.ifPresent(
        current -> {
          recordFirstByte(current);
          services.dispatcher().recordTokens(current.grant(), count);
        });
  }

  @Override
  public void onCachedTokens(int count) {
    attempt.ifPresent(current -> services.dispatcher().recordCachedTokens(current.grant(), count));
  }

  private void recordFirstByte(Attempt current) {
    if (relay.timesFirstToken()) {
      services.dispatcher().recordFirstToken(current.grant());
    }
    if (firstByteNanos < 0) {
      firstByteNanos = System.nanoTime() - context.arrivedNanos();
    }
  }

  @Override
  public void completed() {
    Attempt current = attempt.orElseThrow();
    attempt = Optional.empty();
    recordFirstByte(current);
    mayHaveRun = true;
    services.dispatcher().recordEnd(current.grant(), report(Completion.End.DONE, current));
    finish(Optional.empty(), Outcome.RAN);
  }

  @Override
  public void failed(ResultCode code, boolean bytesWritten, boolean refused) {
    Attempt current = attempt.orElseThrow();
    attempt = Optional.empty();
    boolean mayHaveRunBefore = mayHaveRun;
    mayHaveRun |= bytesWritten && !refused;
    failedUpstreams.add(current.grant().upstream());
    services.dispatcher().recordEnd(current.grant(), report(endOf(code, refused), current));
    FailedAttempt failedAttempt =
        new FailedAttempt(
            code,
            spec.dispatchRequest().idempotent(),
            relay.resumable(),
            bytesWritten,
            refused,
            mayHaveRunBefore,
            relay.hasStarted(),
            relay.delivered().tokens(),
            attempts,
            spec.dispatchRequest().endNanos(),
            0);
    applyDecision(services.dispatcher().decideRetry(spec.dispatchRequest(), failedAttempt), code);
  }

  private static Completion.End endOf(ResultCode code, boolean refused) {
    if (code == ResultCode.ANSWER_DROPPED) {
      return Completion.End.CANCELLED;
    }
    return refused ? Completion.End.REFUSED : Completion.End.FAILED;
  }

  private void applyDecision(RetryDecision decision, ResultCode cause) {
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
    if (callerDisconnected) {
      finishWith(Failure.of(ResultCode.UPSTREAM_BROKE), Outcome.UNKNOWN, 0);
      return;
    }
    DispatchRequest next = spec.dispatchRequest().retry(failedUpstreams, relay.hasStarted());
    if (delayNanos <= 0) {
      services.dispatcher().submit(next, this);
      return;
    }
    long delayMillis = TimeUnit.NANOSECONDS.toMillis(delayNanos) + 1;
    Runnable unused = thread().after(delayMillis, () -> submitUnlessEnded(next));
  }

  private void submitUnlessEnded(DispatchRequest request) {
    if (!ended) {
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
    if (relay.hasStarted() && !relay.resumable()) {
      services.dispatcher().recordEnd(current.grant(), report(Completion.End.PREEMPTED, current));
      finishWith(Failure.of(ResultCode.PREEMPTED), Outcome.RAN, 0);
      return;
    }
    DispatchRequest request = spec.dispatchRequest();
    long remaining =
        request.placement().promptTokens()
            + Math.max(
                1, request.placement().expectedOutputTokens() - relay.usage().outputTokens());
    AttemptReport report = report(Completion.End.PREEMPTED, current);
    services.dispatcher().recordPreemption(current.grant(), report, remaining);
  }

  @Override
  public void onWritable() {
    relay.onDrained();
    attempt.ifPresent(Attempt::resume);
  }

  @Override
  public void onDisconnect(DisconnectReason reason) {
    callerDisconnected = true;
    if (!ended && !endListener.outlivesCaller()) {
      stopAttempt(Completion.End.CANCELLED);
      finish(Optional.empty(), mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN);
    }
  }

  private void onDeadline() {
    ResultCode code =
        attempt.isPresent() ? ResultCode.UPSTREAM_TIMEOUT : ResultCode.DEADLINE_UNREACHABLE;
    terminate(Failure.of(code), Completion.End.FAILED);
  }

  /** Ends the request because its key is no longer valid; may be called on any thread. */
  void endForInvalidKey(Failure refusal) {
    thread().execute(() -> terminate(keyFailure(refusal), Completion.End.CANCELLED));
  }

  private Failure keyFailure(Failure refusal) {
    if (attempts == 0) {
      return refusal;
    }
    return refusal.code() == ResultCode.KEYS_NOT_CURRENT
        ? Failure.of(ResultCode.KEYS_NOT_CURRENT_DURING_RUN)
        : Failure.of(ResultCode.KEY_WITHDRAWN_DURING_RUN);
  }

  /** Ends the request with a failure; may be called on any thread. */
  void endFromAnyThread(Failure failure) {
    thread().execute(() -> terminate(failure, Completion.End.CANCELLED));
  }

  private void terminate(Failure failure, Completion.End attemptEnd) {
    if (ended) {
      return;
    }
    stopAttempt(attemptEnd);
    finishWith(failure, currentOutcome(), 0);
  }

  private Outcome currentOutcome() {
    if (relay.hasStarted()) {
      return Outcome.RAN;
    }
    return mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
  }

  private void stopAttempt(Completion.End attemptEnd) {
    if (attempt.isEmpty()) {
      services.dispatcher().cancel(context.id());
      return;
    }
    Attempt current = attempt.get();
    attempt = Optional.empty();
    current.cancel();
    mayHaveRun |= current.mayHaveRun();
    services.dispatcher().recordEnd(current.grant(), report(attemptEnd, current));
  }

  private void finishWith(Failure failure, Outcome outcome, long retryAfterMillis) {
    if (!callerDisconnected) {
      if (relay.hasStarted()) {
        relay.abort(failure, outcome);
      } else {
        ErrorAnswers.send(caller, context.id(), failure, outcome, retryAfterMillis);
      }
    }
    finish(Optional.of(failure.code()), outcome);
  }

  private void finish(Optional<ResultCode> code, Outcome outcome) {
    if (ended) {
      return;
    }
    ended = true;
    cancelDeadline.run();
    answerMemory.release();
    services.active().remove(this);
    AnswerRelay.Usage usage = relay.usage();
    long inputTokens = usage.inputTokens();
    endListener.ended(
        new RequestEndListener.Summary(
            code,
            outcome,
            lastUpstream,
            attempts,
            firstByteNanos,
            inputTokens >= 0 ? inputTokens : spec.dispatchRequest().placement().promptTokens(),
            usage.outputTokens()),
        relay);
  }

  private AttemptReport report(Completion.End attemptEnd, Attempt current) {
    return report(attemptEnd, relay.timesFirstToken() ? current.firstDataNanos() : -1);
  }

  private AttemptReport report(Completion.End attemptEnd, long firstTokenNanos) {
    long inputTokens = spec.dispatchRequest().placement().promptTokens();
    boolean onTarget = firstByteNanos >= 0 && firstByteNanos <= targetFirstByteNanos();
    return new AttemptReport(
        attemptEnd, inputTokens, relay.usage().outputTokens(), firstTokenNanos, onTarget);
  }

  /**
   * Returns the target time to the first byte. For an answer that is not streamed, this includes
   * the target time of its output tokens.
   */
  private long targetFirstByteNanos() {
    ClassPolicy policy = context.classPolicy();
    double tokens = relay.timesFirstToken() ? 0 : relay.usage().outputTokens();
    double millis = policy.firstTokenMs() + tokens * policy.interTokenMs();
    return (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
  }
}
