package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.dispatch.PoolRequest;
import io.jacinthquay.decision.dispatch.SendOutcome;
import io.jacinthquay.decision.dispatch.SentRequest;
import io.jacinthquay.decision.dispatch.UpstreamLoad;
import io.jacinthquay.decision.dispatch.UpstreamState;
import io.jacinthquay.decision.routing.RouteTable;
import io.jacinthquay.decision.waiting.Verdict;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.routing.RequestKind;
import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.CallerListener;
import io.jacinthquay.router.port.DisconnectReason;
import io.jacinthquay.router.port.ResponseHead;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.ThreadLocalRandom;

/** Forwards one request, from its admission to the end of its answer. */
final class ForwardExchange implements CallerListener {
  private final ForwardCore core;
  private final ForwardRequest request;
  private final Caller caller;
  private final AnswerSink regularSink;
  private final StreamBinding binding;
  private final SendHistory history;
  private final RequestTrace trace;
  private final QueuePlace queue;
  private final PromptTrial trial;
  private PoolRequest work;
  private Runnable timer = () -> {};
  private AnswerSink sink;
  private ForwardAttempt attempt;
  private long sentNanos;
  private boolean mayHaveRun;
  private boolean success;
  private boolean usageCounted;
  private boolean done;

  ForwardExchange(ForwardCore core, ForwardRequest request, Caller caller) {
    this.core = core;
    this.request = request;
    this.caller = caller;
    PoolName pool = RouteTable.pool(request.route(), ThreadLocalRandom.current().nextDouble());
    this.work = request.work(pool);
    this.history = new SendHistory(core, request.route());
    this.trace = new RequestTrace(request, work);
    this.binding = new StreamBinding(core, request, pool, trace, history);
    this.queue = new QueuePlace(core, request, work, trace);
    this.trial = new PromptTrial(core.quarantine(), work.sharedParts());
    this.regularSink =
        request.route().kind() == RequestKind.STREAMING
            ? core.newStreamAnswer(
                caller, request.facts().lastEventId(), () -> attempt.endForMemory(), this::onEvents)
            : core.newBufferedAnswer(caller, () -> attempt.endForMemory());
    this.sink = regularSink;
  }

  String attemptId() {
    return request.facts().attemptId();
  }

  /** Returns what was decided about the request and when, for the log. */
  String summary() {
    return trace.summary(core.version());
  }

  private void note(String event, Object detail) {
    trace.note(event, detail);
  }

  void start() {
    core.register(this);
    caller.setListener(this);
    long now = System.nanoTime();
    PoolCounters counters = core.counters(work.pool());
    counters.requests++;
    counters.outputTokens += work.outputTokens();
    core.retryBudgets().countFirstSend(work.pool(), now);
    long leftMillis = request.limitMillis() - trace.millisSinceArrival(now);
    timer = caller.thread().after(Math.max(1, leftMillis), this::timedOut);
    if (binding.isTakeUp()) {
      binding.findOrigin(this::enterBound, this::reject);
    } else {
      enter(now);
    }
  }

  private void enterBound(PoolRequest boundWork) {
    if (!done) {
      bindTo(boundWork);
      enter(System.nanoTime());
    }
  }

  private void bindTo(PoolRequest boundWork) {
    work = boundWork;
    queue.rebind(boundWork);
  }

  private void reject(Failure failure) {
    endUnanswered(failure.code(), failure.code(), failure.detail());
  }

  private void enter(long now) {
    boolean next = queue.arrive(now);
    if (!next || !tryDispatch(now)) {
      enqueue(now);
    }
    if (!next) {
      core.queues().pollSoon();
    }
  }

  private void enqueue(long now) {
    if (!core.selector().isServed(work, now)) {
      reject(binding.unserved());
    } else {
      queue.enter(this, now).ifPresent(this::reject);
    }
  }

  /** Ends a request that waits for a version of which no upstream is left; returns if it did. */
  boolean endIfVersionGone(long now) {
    if (!queue.isWaiting() || work.version().isEmpty() || core.selector().isServed(work, now)) {
      return false;
    }
    queue.leave(this);
    reject(binding.unserved());
    return true;
  }

  /** Returns whether an upstream has capacity for the request now. */
  boolean hasPlace(long now) {
    return !done && !isPastDeadline(now) && history.choose(work, now).isPresent();
  }

  /**
   * Returns a request that did not run to the queue, so that it may go to any upstream again; only
   * where all routers share a queue.
   */
  private boolean enqueueAgain(long now) {
    if (!core.sharesQueue() || isPastDeadline(now) || done) {
      return false;
    }
    history.forgetUnlessRun();
    queue.enterAgain(this, now);
    return true;
  }

  /** Returns whether the deadline has passed, even if the timer has not fired yet. */
  private boolean isPastDeadline(long now) {
    return now - work.deadlineNanos() >= 0;
  }

  /**
   * Sends the request if an upstream has capacity and the deadline has not passed.
   *
   * @return true if the request was sent or has ended
   */
  boolean tryDispatch(long now) {
    if (done) {
      return true;
    }
    if (isPastDeadline(now)) {
      return false;
    }
    if (trial.rejectsSend(now)) {
      endQuarantined();
      return true;
    }
    Optional<UpstreamState> chosen = history.choose(work, now);
    if (chosen.isEmpty()) {
      return endIfVersionGone(now);
    }
    queue.left();
    send(chosen.get(), now);
    return true;
  }

  /** Ends the request if a part of its prompt is quarantined and its answer is not under way. */
  void endIfQuarantined() {
    if (!done && (attempt == null || !attempt.hasBegun()) && trial.endsRequest()) {
      queue.leave(this);
      endQuarantined();
    }
  }

  private void endQuarantined() {
    queue.left();
    ResultCode refusal = ResultCode.PROMPT_QUARANTINED;
    endUnanswered(ResultCode.UPSTREAM_BROKE, refusal, refusal.meaning());
  }

  private void send(UpstreamState upstream, long now) {
    cancelSend();
    sink = regularSink;
    history.recordSend(upstream.listing().upstream());
    UpstreamLoad loadBefore = upstream.load();
    SentRequest sending = core.selector().sent(upstream, work, now);
    note("sent", upstream.listing().upstream());
    if (work.promptTokens() > 0) {
      trace.notePrompt(sending, loadBefore);
    }
    core.metrics().countSend(history.isRepeated());
    sentNanos = now;
    OptionalLong resumeAfter = binding.resumeAfter(sink, caller.hasBegun());
    attempt = new ForwardAttempt(this, core, sending, resumeAfter.isPresent());
    attempt.send(() -> request.toUpstream(core.protocol(), sending, resumeAfter, now));
    core.counters(work.pool()).promptTokens += attempt.unreadTokens();
    core.prefixLog().record(upstream.listing().upstream(), work);
  }

  /** Cancels the current send, if there is one, and records whether it may have run. */
  private void cancelSend() {
    if (attempt != null) {
      boolean failed = attempt.mayHaveRun() && !caller.hasBegun();
      attempt.cancel(failed ? SendOutcome.FAILED : SendOutcome.UNDECIDED);
      mayHaveRun |= attempt.mayHaveRun();
    }
  }

  /** Called when the connection of an attempt is open and the request is about to be written. */
  void onSending(ForwardAttempt from) {
    UpstreamId upstream = from.upstream().listing().upstream();
    if (done) {
      core.metrics().countSendAfterEnd();
      core.journal().logSendAfterEnd(this, upstream);
      from.cancel(SendOutcome.UNDECIDED);
    } else {
      note("open", upstream);
    }
  }

  /** Called just before events of the answer are written to the caller. */
  private void onEvents(int events) {
    trace.recordEvents(!caller.hasBegun());
    if (attempt != null) {
      attempt.recordEvents(events);
      bindTo(binding.bind(work, attempt));
    }
    if (!caller.hasBegun()) {
      note("first", "event");
      core.metrics()
          .recordFirst(request.route().name().value(), System.nanoTime() - request.arrivedNanos());
      countUsage();
    }
    trace.countIfLate(core);
  }

  private void countUsage() {
    if (!usageCounted) {
      usageCounted = true;
      core.waiting().recordServed(request.customer(), work, System.nanoTime());
      request
          .customer()
          .ifPresent(customer -> core.usage().countRequest(customer, core.timeOfDay()));
    }
  }

  void onHead(ForwardAttempt from, ResponseHead head, boolean succeeded) {
    success = succeeded;
    if (!succeeded) {
      note("status", head.status());
    }
    boolean streaming = sink instanceof EventStreamAnswer;
    if (!succeeded && streaming) {
      if (caller.hasBegun()) {
        reject(from, "status " + head.status());
        return;
      }
      // The body of a failure is no event stream.
      sink = core.newBufferedAnswer(caller, () -> attempt.endForMemory());
    }
    if (!streaming) {
      from.markBegun();
      countUsage();
    }
    if (binding.mustEnd(work, from) || !sink.head(head)) {
      reject(from, "another kind of answer or version");
    }
  }

  /** Cancels an attempt whose answer can't continue what the caller has. */
  private void reject(ForwardAttempt from, String reason) {
    from.cancel(SendOutcome.FAILED);
    onFailed(from, reason);
  }

  boolean onData(ForwardAttempt from, ByteBuffer data) {
    return from != attempt || done || (!binding.mustEnd(work, from) && sink.data(data));
  }

  /** Returns whether no memory is left for the answer of the current send. */
  boolean isOutOfMemory() {
    return sink.isOutOfMemory();
  }

  /** Returns whether more of the answer can be read now, as the caller keeps up with it. */
  boolean acceptsData() {
    return done || sink.writable();
  }

  /** Completes the answer when it has fully arrived from an attempt; false if it is incomplete. */
  boolean onEnd(ForwardAttempt from) {
    if (from != attempt || done) {
      return true;
    }
    if (!sink.end()) {
      return false;
    }
    finish("answered", success);
    return true;
  }

  boolean succeeded() {
    return success;
  }

  /** Returns whether the request may be retried now; if so, takes a retry from the budget. */
  boolean tryAcquireRetry(long now) {
    return history.tryAcquireRetry(work, now);
  }

  /** Retries the request at another upstream if its upstream is silent and a retry is allowed. */
  void retryIfSilent(long now) {
    if (done || attempt == null || !attempt.isSilent(now) || !tryAcquireRetry(now)) {
      return;
    }
    note("silent", attempt.upstream().listing().upstream());
    attempt.cancel(SendOutcome.FAILED);
    if (!tryDispatch(now)) {
      giveUp(ResultCode.UPSTREAM_TIMEOUT);
    }
  }

  /** Called when the upstream proved that it did not run the request. */
  void onNotExecuted(ResponseHead head) {
    note("notRun", head.status());
    history.recordNotRun();
    long now = System.nanoTime();
    if (!history.tryAcquireAnother(work, now)
        || !((history.mayGoAtOnce() && tryDispatch(now)) || enqueueAgain(now))) {
      giveUp(ResultCode.UPSTREAM_REFUSED);
    }
  }

  /** Called when the upstream could not be reached; nothing of the request was sent. */
  void onUnreachable(ForwardAttempt from) {
    note("unreachable", from.upstream().listing().upstream());
    history.recordNotRun();
    long now = System.nanoTime();
    if (!history.mayReachAnother() || !(tryDispatch(now) || enqueueAgain(now))) {
      giveUp(ResultCode.UPSTREAM_UNREACHABLE);
    }
  }

  /** Called when an upstream failed that may have run the request. */
  void onFailed(ForwardAttempt from, String reason) {
    note("failed", reason);
    core.metrics().countBrokenSend(from.hasBegun());
    if (done || from != attempt) {
      return;
    }
    sink.discard();
    long now = System.nanoTime();
    boolean mayCrashOthers =
        !from.isEstablished() && trial.mayCrashBeside(from.upstream().listing().upstream());
    if (mayCrashOthers || !tryAcquireRetry(now) || !tryDispatch(now)) {
      giveUp(ResultCode.UPSTREAM_BROKE);
    }
  }

  /** Retries the request after a failure; the retry was already taken from the budget. */
  void retry(String reason) {
    note("repeats", reason);
    if (!tryDispatch(System.nanoTime())) {
      giveUp(ResultCode.UPSTREAM_BROKE);
    }
  }

  /** Refuses the request because it waited too long or was displaced from the queue. */
  void shed(Verdict<ForwardExchange> verdict) {
    queue.left(verdict);
    endUnanswered(ResultCode.SHED_OVERLOAD, ResultCode.SHED_OVERLOAD, verdict.admission().text());
  }

  /** Ends the request, with a failure if it may have run and a refusal otherwise. */
  void giveUp(ResultCode code) {
    endUnanswered(code, ResultCode.NO_UPSTREAM, code.meaning());
  }

  /**
   * Ends the request without an upstream's answer. Cancels the current send first, so that a
   * refused request can't start later and it is known whether a send may have run.
   *
   * @param failure the code if the request may have run
   * @param refusal the code if it has not run
   * @param detail the reason of a refusal
   */
  private void endUnanswered(ResultCode failure, ResultCode refusal, String detail) {
    if (done) {
      return;
    }
    cancelSend();
    if (mayHaveRun || caller.hasBegun()) {
      fail(failure);
    } else {
      refuse(refusal, detail);
    }
  }

  /** Answers with a refusal, which promises that the request has not run and never will. */
  private void refuse(ResultCode code, String detail) {
    PoolCounters counters = core.counters(work.pool());
    counters.refused++;
    counters.promptTokens += history.hasSends() ? 0 : work.ownTokens();
    note("refused", detail);
    caller.sendResponse(
        core.protocol().refusal(Failure.of(code, detail), OptionalDouble.of(queue.refuse(code))),
        new byte[0]);
    finish("refused", false);
  }

  /** Ends a request that may have run, with an error answer or by aborting the current answer. */
  private void fail(ResultCode code) {
    if (caller.hasBegun()) {
      core.metrics().countUnansweredClose(DisconnectReason.ANSWER_BROKE);
      caller.abort();
    } else {
      ResultCode reported = code == ResultCode.UPSTREAM_TIMEOUT ? code : ResultCode.UPSTREAM_BROKE;
      caller.sendResponse(
          core.protocol().refusal(Failure.of(reported), OptionalDouble.empty()), new byte[0]);
    }
    finish("failed " + code.number(), false);
  }

  /** Ends the request with a final answer, unless its answer is under way. */
  void endBeforeStop() {
    if (!caller.hasBegun()) {
      endUnanswered(ResultCode.UPSTREAM_TIMEOUT, ResultCode.SHUTTING_DOWN, "the router stops");
    }
  }

  private void timedOut() {
    note("timeout", request.limitMillis());
    endUnanswered(
        ResultCode.UPSTREAM_TIMEOUT,
        ResultCode.DEADLINE_UNREACHABLE,
        "no upstream took the request in time");
  }

  private void finish(String outcome, boolean served) {
    if (done) {
      return;
    }
    done = true;
    timer.run();
    sink.discard();
    core.unregister(this);
    if (core.sharesQueue()) {
      queue.leave(this);
    }
    if (served && attempt != null) {
      core.waiting().recordHold(work.pool(), (System.nanoTime() - sentNanos) / 1e6);
    }
    long tookNanos = System.nanoTime() - request.arrivedNanos();
    core.metrics().recordEnd(outcome, request.route().name().value(), tookNanos);
    core.journal().logEnd(this, outcome, served);
  }

  @Override
  public void onWritable() {
    sink.drained();
    if (attempt != null) {
      attempt.resume();
    }
  }

  @Override
  public void onDisconnect(DisconnectReason reason) {
    if (done) {
      return;
    }
    queue.leave(this);
    if (attempt != null) {
      attempt.cancel(SendOutcome.UNDECIDED);
    }
    core.metrics().countUnansweredClose(reason);
    finish(reason.text(), reason == DisconnectReason.CALLER_LEFT);
  }
}
