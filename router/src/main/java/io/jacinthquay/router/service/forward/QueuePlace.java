package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.dispatch.PoolRequest;
import io.jacinthquay.decision.waiting.Admission;
import io.jacinthquay.decision.waiting.Verdict;
import io.jacinthquay.decision.waiting.Waiter;
import io.jacinthquay.decision.waiting.WaitingLine;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;

/** Whether and where one request waits for an upstream. */
final class QueuePlace {
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final ForwardCore core;
  private final ForwardRequest request;
  private PoolRequest work;
  private final RequestTrace trace;
  private boolean waiting;

  QueuePlace(ForwardCore core, ForwardRequest request, PoolRequest work, RequestTrace trace) {
    this.core = core;
    this.request = request;
    this.work = work;
    this.trace = trace;
  }

  /** Sets the work of the request, which must not wait now. */
  void rebind(PoolRequest newWork) {
    work = newWork;
  }

  private WaitingLine<ForwardExchange> line() {
    return core.waiting().line(work.pool());
  }

  /** Records the arrival and returns whether the request may be sent ahead of those that wait. */
  boolean arrive(long now) {
    return line().arrive(work, now);
  }

  /**
   * Queues the request.
   *
   * @return why it is rejected; empty if it waits
   */
  Optional<Failure> enter(ForwardExchange exchange, long now) {
    if (limitedWaitMillis() > work.targetMillis()) {
      return Optional.of(
          Failure.of(ResultCode.SHED_OVERLOAD, "all upstreams limit the requests that they take"));
    }
    Verdict<ForwardExchange> verdict = core.queues().enqueue(waiter(exchange), now);
    waiting = verdict.admission().waits();
    trace.note("waits", line().size());
    noteEstimate(verdict);
    if (waiting) {
      return Optional.empty();
    }
    return Optional.of(
        verdict.admission() == Admission.FULL
            ? Failure.of(ResultCode.QUEUE_FULL)
            : Failure.of(ResultCode.SHED_OVERLOAD, verdict.admission().text()));
  }

  /**
   * Returns how long a request that arrives now would wait for upstreams that all state limits, in
   * milliseconds; 0 if one of them states none.
   */
  private double limitedWaitMillis() {
    if (core.selector().statedLimits().size() == 0) {
      return 0;
    }
    double perSecond =
        core.selector().statedLimits().ownPerSecond(core.selector().usable(work.pool()));
    return (line().size() + 1) * MILLIS_PER_SECOND / perSecond;
  }

  /** Returns the request to the queue after it was sent and did not run. */
  void enterAgain(ForwardExchange exchange, long now) {
    waiting = true;
    trace.note("waitsAgain", line().size());
    core.queues().enqueueAgain(waiter(exchange), now);
  }

  private Waiter<ForwardExchange> waiter(ForwardExchange exchange) {
    long begunNanos = work.deadlineNanos() - request.route().timeoutMillis() * NANOS_PER_MILLI;
    return new Waiter<>(exchange, work, request.customer(), begunNanos);
  }

  boolean isWaiting() {
    return waiting;
  }

  /** Records that the queue has removed the request, which is sent or ends. */
  void left() {
    waiting = false;
  }

  /** Records that the queue has rejected the request. */
  void left(Verdict<ForwardExchange> verdict) {
    left();
    noteEstimate(verdict);
  }

  private void noteEstimate(Verdict<ForwardExchange> verdict) {
    if (!verdict.estimate().isEmpty()) {
      trace.note("estimate", verdict.admission() + "," + verdict.estimate());
    }
  }

  /** Removes the request from the queue if it waits. */
  void leave(ForwardExchange exchange) {
    if (waiting) {
      line().remove(exchange);
    }
  }

  /** Counts a refusal and returns the time after which its caller should retry, in seconds. */
  double refuse(ResultCode code) {
    core.waiting().countRejection(work.pool(), code.name());
    double random = ThreadLocalRandom.current().nextDouble();
    return code == ResultCode.PROMPT_QUARANTINED
        ? core.quarantine().millisToTrial(work.sharedParts(), core.timeOfDay()) / 1_000.0
            + 0.5
            + random
        : Math.max(
            limitedWaitMillis() / MILLIS_PER_SECOND * (1 + random),
            line().retrySeconds(work, System.nanoTime(), random));
  }
}
