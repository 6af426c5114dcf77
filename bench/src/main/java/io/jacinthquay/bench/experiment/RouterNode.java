package io.jacinthquay.bench.experiment;

import io.jacinthquay.decision.bearing.LoadReport;
import io.jacinthquay.decision.placement.AttemptEnd;
import io.jacinthquay.decision.placement.CacheEvent;
import io.jacinthquay.decision.placement.PlacementRequest;
import io.jacinthquay.decision.placement.PlacementSettings;
import io.jacinthquay.decision.placement.Placer;
import io.jacinthquay.decision.placement.UpstreamInfo;
import io.jacinthquay.decision.placement.UpstreamTable;
import io.jacinthquay.decision.retry.FailedAttempt;
import io.jacinthquay.decision.retry.RetryBudget;
import io.jacinthquay.decision.retry.RetryDecision;
import io.jacinthquay.decision.retry.RetryPolicy;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.VmId;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Function;

/** A simulated router: sends attempts, records their events in the upstream table and retries. */
abstract class RouterNode {
  /** Longest time from the first-token deadline to the end of the exchange, in nanoseconds. */
  private static final long EXCHANGE_TIMEOUT_NANOS = 120_000 * Simulation.NANOS_PER_MILLISECOND;

  /** Shortest time after which a caller without a first token disconnects, in nanoseconds. */
  private static final long MIN_CALLER_TIMEOUT_NANOS = 5_000 * Simulation.NANOS_PER_MILLISECOND;

  /** Ratio of the caller's timeout for the first token to the target of the class. */
  private static final int CALLER_TIMEOUT_FACTOR = 4;

  final Simulation simulation;
  final VmId id;
  final UpstreamTable table;
  final Placer placer;
  final SplittableRandom random;
  final Map<SimRequest, Attempt> running = new HashMap<>();
  private final DomainId domain;
  private final Map<SimRequest, Set<UpstreamId>> failedUpstreams = new HashMap<>();
  private final RetryBudget retryBudget = new RetryBudget();
  private final RetryPolicy retryPolicy = new RetryPolicy();

  RouterNode(
      Simulation simulation, VmId id, DomainId domain, Function<UpstreamTable, Placer> placers) {
    this.simulation = simulation;
    this.id = id;
    this.domain = domain;
    this.random = simulation.random.split();
    this.table = UpstreamTable.create(domain, id.value(), PlacementSettings.defaults());
    this.placer = placers.apply(table);
    for (var engine : simulation.engineList) {
      table.add(new UpstreamInfo(engine.id(), engine.domain()), Long.MIN_VALUE / 2);
    }
  }

  DomainId domain() {
    return domain;
  }

  /** Accepts a new request from a caller. */
  final void submit(SimRequest request) {
    retryBudget.requested();
    if (!request.classPolicy.mustFinish()) {
      long timeout = CALLER_TIMEOUT_FACTOR * request.firstTokenTargetNanos();
      simulation.events.after(
          Math.max(MIN_CALLER_TIMEOUT_NANOS, timeout), () -> disconnectCaller(request));
    }
    enqueue(request);
  }

  /** Queues a request or sends it; also called again for each retry. */
  abstract void enqueue(SimRequest request);

  /** Removes a waiting request from its queue. */
  abstract void removeFromQueue(SimRequest request);

  /** Called when an attempt has ended and its capacity is free. */
  abstract void onAttemptEnd(Attempt attempt, AttemptEnd end);

  /** Called when a token after the first was forwarded to the caller. */
  void onTokenForwarded(SimRequest request) {}

  /** Returns the priority of a request on the engine. */
  abstract int priority(SimRequest request);

  void applyLoadReport(LoadReport report) {
    table.applyLoadReport(report, simulation.now());
  }

  void applyCacheEvent(CacheEvent event) {
    table.applyCacheEvent(event);
  }

  PlacementRequest placementRequest(SimRequest r) {
    Set<UpstreamId> excluded = failedUpstreams.getOrDefault(r, Set.of());
    int prompt = r.promptTokens + r.deliveredTokens;
    return new PlacementRequest(
        r.prefix, prompt, r.outputTokens - r.deliveredTokens, r.classPolicy.tier(), excluded);
  }

  /** Sends a request to an upstream. */
  final void send(SimRequest request, UpstreamId upstream) {
    request.attempts++;
    if (simulation.scorecard.isMeasured(request.arrivedAt)) {
      simulation.scorecard.attempts++;
    }
    Attempt attempt = new Attempt(this, request, simulation.engines.get(upstream));
    running.put(request, attempt);
    attempt.start();
  }

  final void onSuccess(Attempt attempt) {
    retryBudget.succeeded(simulation.now());
    SimRequest request = attempt.request;
    request.completed = true;
    endRequest(request);
    simulation.usefulTokens += attempt.usefulTokens();
    running.remove(request);
    onAttemptEnd(attempt, AttemptEnd.COMPLETED);
  }

  final void onFailure(Attempt attempt, ResultCode code, boolean written) {
    SimRequest request = attempt.request;
    running.remove(request);
    failedUpstreams.computeIfAbsent(request, r -> new HashSet<>()).add(attempt.engine.id());
    onAttemptEnd(attempt, AttemptEnd.FAILED);
    FailedAttempt failedAttempt =
        new FailedAttempt(
            code,
            true,
            true,
            written,
            false,
            request.mayHaveRun,
            request.deliveredTokens > 0,
            request.deliveredTokens,
            request.attempts,
            request.deadline() + EXCHANGE_TIMEOUT_NANOS,
            0);
    request.mayHaveRun |= written;
    RetryDecision decision =
        retryPolicy.decide(failedAttempt, retryBudget, simulation.now(), random);
    if (decision instanceof RetryDecision.Retry retry) {
      simulation.events.after(retry.delayNanos(), () -> retry(request));
    } else if (decision instanceof RetryDecision.Resume resume) {
      simulation.events.after(resume.delayNanos(), () -> retry(request));
    } else {
      endRequest(request);
    }
  }

  private void retry(SimRequest request) {
    if (!request.ended) {
      enqueue(request);
    }
  }

  /** Rejects a request. */
  final void reject(SimRequest request) {
    request.rejected = true;
    endRequest(request);
  }

  private void endRequest(SimRequest request) {
    request.ended = true;
    request.endedAt = simulation.now();
    failedUpstreams.remove(request);
  }

  /** Disconnects the caller unless the first token has arrived. */
  private void disconnectCaller(SimRequest request) {
    if (request.ended || request.firstTokenAt != SimRequest.NEVER) {
      return;
    }
    endRequest(request);
    Attempt attempt = running.remove(request);
    if (attempt == null) {
      removeFromQueue(request);
    } else {
      attempt.cancel();
      onAttemptEnd(attempt, AttemptEnd.CANCELLED);
    }
  }

  /** Fails all attempts on engines that are no longer reachable. */
  final void failUnreachable() {
    List<Attempt> all = new ArrayList<>(running.values());
    for (Attempt attempt : all) {
      if (!simulation.isReachable(domain, attempt.engine.domain())) {
        attempt.loseConnection();
      }
    }
  }
}
