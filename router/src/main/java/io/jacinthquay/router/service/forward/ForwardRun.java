package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.dispatch.Listing;
import io.jacinthquay.decision.dispatch.LoadFigures;
import io.jacinthquay.decision.dispatch.SendEnd;
import io.jacinthquay.decision.dispatch.Sending;
import io.jacinthquay.decision.dispatch.UpstreamState;
import io.jacinthquay.decision.dispatch.Work;
import io.jacinthquay.decision.routing.RouteTable;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.routing.RequestKind;
import io.jacinthquay.router.port.AnswerHead;
import io.jacinthquay.router.port.AttemptFacts;
import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.CallerListener;
import io.jacinthquay.router.port.UpstreamRequest;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** One request from its admission to the end of its answer. */
final class ForwardRun implements CallerListener {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Sends that reached nobody after which the request is given up. */
  private static final int MOST_UNREACHED = 4;

  /** Share of the target that a request may wait for a place before it is turned away. */
  private static final double WAIT_SHARE = 0.8;

  /** When a caller that found no place should come back, as a share of its target. */
  private static final double RETURN_SHARE = 0.6;

  private final ForwardCore core;
  private final ForwardRequest request;
  private final Caller caller;
  private final AnswerSink sink;
  private final Work work;
  private final Set<UpstreamId> avoided = new HashSet<>();
  private final StringBuilder story = new StringBuilder();
  private Runnable timer = () -> {};
  private ForwardAttempt attempt;
  private int sends;
  private int unreached;
  private boolean mayHaveRun;
  private boolean waiting;
  private boolean success;
  private boolean usageCounted;
  private boolean done;
  private long eventAt;
  private long longestPauseNanos;

  ForwardRun(ForwardCore core, ForwardRequest request, Caller caller) {
    this.core = core;
    this.request = request;
    this.caller = caller;
    PoolName pool = RouteTable.pool(request.route(), ThreadLocalRandom.current().nextDouble());
    this.work = request.work(pool);
    this.sink =
        request.route().kind() == RequestKind.STREAMING
            ? new EventAnswer(core.protocol(), caller, request.facts().lastEventId(), this::events)
            : new WholeAnswer(core.protocol(), caller);
  }

  String attemptId() {
    return request.facts().attemptId();
  }

  /** Returns what was decided about the request and why, for the log. */
  String story() {
    return "route="
        + request.route().name()
        + " version="
        + core.version()
        + " customer="
        + request.customer().map(Object::toString).orElse("-")
        + " tier="
        + work.tier().value()
        + " tookMillis="
        + sinceArrival(System.nanoTime())
        + " pauseMillis="
        + longestPauseNanos / NANOS_PER_MILLI
        + story;
  }

  private long sinceArrival(long now) {
    return (now - request.arrivedNanos()) / NANOS_PER_MILLI;
  }

  private void note(String event, Object detail) {
    story
        .append(" +")
        .append(sinceArrival(System.nanoTime()))
        .append("ms:")
        .append(event)
        .append('=')
        .append(detail);
  }

  void start() {
    core.started(this);
    caller.listener(this);
    long now = System.nanoTime();
    PoolTally tally = core.tally(work.pool());
    tally.requests++;
    tally.outputTokens += work.outputTokens();
    core.firstSend(work.pool(), now);
    long left = request.limitMillis() - sinceArrival(now);
    timer = caller.thread().after(Math.max(1, left), this::timedOut);
    if (!tryPlace(now)) {
      awaitPlace(now);
    }
  }

  private void awaitPlace(long now) {
    if (!core.board().isServed(work.pool())) {
      turnAway(ResultCode.NO_UPSTREAM, "the pool has no upstream");
      return;
    }
    long patience =
        Math.min((long) (work.targetMillis() * WAIT_SHARE), Math.max(0, request.limitMillis() / 3));
    waiting = core.await(this, work, now + patience * NANOS_PER_MILLI);
    note("waits", core.line(work.pool()).size());
    if (!waiting) {
      turnAway(ResultCode.QUEUE_FULL, ResultCode.QUEUE_FULL.meaning());
    }
  }

  /** Returns whether the caller's time is over, though the timer may not have run yet. */
  private boolean isOver(long now) {
    return now - work.deadlineNanos() >= 0;
  }

  /** Sends the request if an upstream has a place for it and there is time left. */
  boolean tryPlace(long now) {
    if (done) {
      return true;
    }
    if (isOver(now)) {
      return false;
    }
    Optional<UpstreamState> chosen = core.board().choose(work, avoided, now);
    if (chosen.isEmpty()) {
      return false;
    }
    waiting = false;
    send(chosen.get(), now);
    return true;
  }

  private void send(UpstreamState upstream, long now) {
    endSend();
    sends++;
    avoided.add(upstream.listing().upstream());
    LoadFigures before = upstream.load();
    Sending sending = core.board().sent(upstream, work, now);
    note("sent", upstream.listing().upstream());
    if (work.promptTokens() > 0) {
      note("unread", sending.unreadTokens());
      note("ahead", before.promptTokens());
      note("beside", before.inFlight());
      sending.source().ifPresent(from -> note("fetches", from.upstream()));
    }
    core.metrics().sent(avoided.size() > 1);
    long left = Math.max(1, (work.deadlineNanos() - now) / NANOS_PER_MILLI);
    OptionalLong resumeAfter =
        sink instanceof EventAnswer events && caller.hasBegun()
            ? events.lastId()
            : request.facts().lastEventId();
    AttemptFacts facts =
        new AttemptFacts(
            upstream.listing().upstream(),
            request.customer(),
            left,
            request.route().promptDescribed()
                ? OptionalInt.of(work.urgency())
                : OptionalInt.empty(),
            sending.source().map(Listing::address),
            resumeAfter);
    String query = request.head().query();
    attempt = new ForwardAttempt(this, core, sending);
    attempt.send(
        new UpstreamRequest(
            new RequestId(attemptId()),
            upstream.listing().address(),
            request.head().method(),
            query.isEmpty() ? request.head().rawPath() : request.head().rawPath() + "?" + query,
            core.protocol().toUpstream(request.head(), facts),
            request.body(),
            request.route().isRepeatable(),
            true));
    core.tally(work.pool()).promptTokens += attempt.unreadTokens();
    core.noteRead(upstream.listing().upstream(), work);
  }

  /** Ends the send under way, if there is one, and remembers whether it may have run. */
  private void endSend() {
    if (attempt != null) {
      boolean failed = attempt.mayHaveRun() && !caller.hasBegun();
      attempt.cancel(failed ? SendEnd.FAILED : SendEnd.UNDECIDED);
      mayHaveRun |= attempt.mayHaveRun();
    }
  }

  /** The connection of an attempt is open; the upstream gets the request now. */
  void sending(ForwardAttempt from) {
    UpstreamId upstream = from.upstream().listing().upstream();
    if (done) {
      core.metrics().sentAfterEnd();
      core.journal().sentAfterEnd(this, upstream);
      from.cancel(SendEnd.UNDECIDED);
    } else {
      note("open", upstream);
    }
  }

  /** Events of the answer are about to reach the caller. */
  private void events() {
    long now = System.nanoTime();
    if (caller.hasBegun()) {
      longestPauseNanos = Math.max(longestPauseNanos, now - eventAt);
    }
    eventAt = now;
    if (attempt != null) {
      attempt.begun();
    }
    if (!caller.hasBegun()) {
      note("first", "event");
      core.metrics()
          .first(request.route().name().value(), System.nanoTime() - request.arrivedNanos());
      countUsage();
      if (sinceArrival(System.nanoTime()) > work.targetMillis()) {
        core.tally(work.pool()).late++;
      }
    }
  }

  private void countUsage() {
    if (!usageCounted) {
      usageCounted = true;
      request.customer().ifPresent(c -> core.usage().began(c, core.timeOfDay()));
    }
  }

  void answering(ForwardAttempt from, AnswerHead head, boolean ok) {
    success = ok;
    if (!ok) {
      note("status", head.status());
    }
    if (!ok && sink instanceof EventAnswer && caller.hasBegun()) {
      from.cancel(SendEnd.FAILED);
      failed(from, "status " + head.status());
      return;
    }
    if (!(sink instanceof EventAnswer)) {
      from.begun();
      countUsage();
    }
    sink.head(head);
  }

  boolean data(ForwardAttempt from, ByteBuffer data) {
    return from != attempt || done || sink.data(data);
  }

  /** Returns whether the caller keeps up with the answer. */
  boolean takesMore() {
    return done || sink.writable();
  }

  /** The answer of an attempt has wholly arrived. */
  boolean end(ForwardAttempt from) {
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

  /** Returns whether the request may be sent again now, and takes that from the retry budget. */
  boolean mayRepeat(long now) {
    return request.route().isRepeatable()
        && sends < request.route().maxAttempts()
        && !isOver(now)
        && core.board().choose(work, avoided, now).isPresent()
        && core.mayRepeat(work.pool(), now);
  }

  /** Sends the request elsewhere if its upstream has fallen silent and it may run twice. */
  void review(long now) {
    if (done || attempt == null || !attempt.isSilent(now) || !mayRepeat(now)) {
      return;
    }
    note("silent", attempt.upstream().listing().upstream());
    attempt.cancel(SendEnd.FAILED);
    if (!tryPlace(now)) {
      giveUp(ResultCode.UPSTREAM_TIMEOUT);
    }
  }

  /** The upstream proved that it did not run the request, so another may. */
  void notRun(AnswerHead head) {
    note("notRun", head.status());
    sends--;
    unreached++;
    long now = System.nanoTime();
    boolean again =
        unreached < MOST_UNREACHED
            && !isOver(now)
            && core.board().choose(work, avoided, now).isPresent()
            && core.mayRepeat(work.pool(), now);
    if (!again || !tryPlace(now)) {
      giveUp(ResultCode.UPSTREAM_REFUSED);
    }
  }

  /** The upstream could not be reached; nothing of the request was sent. */
  void unreachable(ForwardAttempt from) {
    note("unreachable", from.upstream().listing().upstream());
    sends--;
    unreached++;
    if (unreached >= MOST_UNREACHED || !tryPlace(System.nanoTime())) {
      giveUp(ResultCode.UPSTREAM_UNREACHABLE);
    }
  }

  /** The upstream failed after it may have run the request. */
  void failed(ForwardAttempt from, String why) {
    note("failed", why);
    if (done || from != attempt) {
      return;
    }
    sink.discard();
    long now = System.nanoTime();
    if (!mayRepeat(now) || !tryPlace(now)) {
      giveUp(ResultCode.UPSTREAM_BROKE);
    }
  }

  /** Sends the request again after a failure that the budget already allows to repeat. */
  void repeat(String why) {
    note("repeats", why);
    if (!tryPlace(System.nanoTime())) {
      giveUp(ResultCode.UPSTREAM_BROKE);
    }
  }

  /** The request waited too long for a place, or had to leave it to another. */
  void turnedAway() {
    waiting = false;
    turnAway(ResultCode.SHED_OVERLOAD, "no place became free in time");
  }

  private void turnAway(ResultCode code, String detail) {
    endUnanswered(code, code, detail);
  }

  private void giveUp(ResultCode code) {
    endUnanswered(code, ResultCode.NO_UPSTREAM, code.meaning());
  }

  /**
   * Ends the request without an upstream's answer.
   *
   * <p>What is said depends on what became of its sends, so the one under way is ended first:
   * nothing of a refused request can start later.
   *
   * @param failure told if the request may have run
   * @param refusal told if it has not run
   * @param detail why it was refused
   */
  private void endUnanswered(ResultCode failure, ResultCode refusal, String detail) {
    if (done) {
      return;
    }
    endSend();
    if (mayHaveRun || caller.hasBegun()) {
      fail(failure);
    } else {
      refuse(refusal, detail);
    }
  }

  /** Answers that the request has not run and never will. */
  private void refuse(ResultCode code, String detail) {
    PoolTally tally = core.tally(work.pool());
    tally.refused++;
    tally.promptTokens += sends == 0 ? work.ownTokens() : 0;
    note("refused", detail);
    double spread = 0.5 + ThreadLocalRandom.current().nextDouble();
    double returnSeconds = RETURN_SHARE * work.targetMillis() / 1_000 * spread;
    caller.answer(
        core.protocol().refusal(Failure.of(code, detail), OptionalDouble.of(returnSeconds)),
        new byte[0]);
    finish("refused", false);
  }

  /** Ends a request of which nobody knows that it has not run. */
  private void fail(ResultCode code) {
    if (caller.hasBegun()) {
      caller.abort();
    } else {
      ResultCode told = code == ResultCode.UPSTREAM_TIMEOUT ? code : ResultCode.UPSTREAM_BROKE;
      caller.answer(core.protocol().refusal(Failure.of(told), OptionalDouble.empty()), new byte[0]);
    }
    finish("failed " + code.number(), false);
  }

  private void timedOut() {
    if (done) {
      return;
    }
    note("timeout", request.limitMillis());
    endUnanswered(
        ResultCode.UPSTREAM_TIMEOUT,
        ResultCode.DEADLINE_UNREACHABLE,
        "no upstream took the request in time");
  }

  private void finish(String outcome, boolean ok) {
    if (done) {
      return;
    }
    done = true;
    timer.run();
    core.ended(this);
    long took = System.nanoTime() - request.arrivedNanos();
    core.metrics().ended(outcome, request.route().name().value(), took);
    core.journal().ended(this, outcome, ok);
  }

  @Override
  public void onWritable() {
    sink.drained();
    if (attempt != null) {
      attempt.resume();
    }
  }

  @Override
  public void onGone() {
    if (done) {
      return;
    }
    if (waiting) {
      core.line(work.pool()).remove(this);
    }
    if (attempt != null) {
      attempt.cancel(SendEnd.UNDECIDED);
    }
    finish("caller left", true);
  }
}
