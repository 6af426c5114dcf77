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

/** One router: sends attempts, tells the table what happens and retries. */
abstract class RouterNode {
  /** Longest time for a whole exchange after its first token was due, in nanoseconds. */
  private static final long EXCHANGE_NANOS = 120_000 * World.MILLISECOND;

  /** Shortest time that a caller waits for the first token, in nanoseconds. */
  private static final long PATIENCE_NANOS = 5_000 * World.MILLISECOND;

  /** How much longer than the target a caller waits for the first token. */
  private static final int PATIENCE_FACTOR = 4;

  final World world;
  final VmId id;
  final UpstreamTable table;
  final Placer placer;
  final SplittableRandom random;
  final Map<SimRequest, Attempt> running = new HashMap<>();
  private final DomainId domain;
  private final Map<SimRequest, Set<UpstreamId>> failedOn = new HashMap<>();
  private final RetryBudget budget = new RetryBudget();
  private final RetryPolicy retries = new RetryPolicy();

  RouterNode(World world, VmId id, DomainId domain, Function<UpstreamTable, Placer> placers) {
    this.world = world;
    this.id = id;
    this.domain = domain;
    this.random = world.random.split();
    this.table = UpstreamTable.create(domain, id.value(), PlacementSettings.defaults());
    this.placer = placers.apply(table);
    for (var engine : world.engineList) {
      table.add(new UpstreamInfo(engine.id(), engine.domain()), Long.MIN_VALUE / 2);
    }
  }

  DomainId domain() {
    return domain;
  }

  /** Takes a request from its caller. */
  final void submit(SimRequest request) {
    budget.requested();
    if (!request.classPolicy.mustFinish()) {
      long patience = PATIENCE_FACTOR * request.firstTokenTargetNanos();
      world.events.after(Math.max(PATIENCE_NANOS, patience), () -> loseCaller(request));
    }
    enqueue(request);
  }

  /** Queues a request or sends it; also called again for each retry. */
  abstract void enqueue(SimRequest request);

  /** Takes a request that waits out of its queue. */
  abstract void withdraw(SimRequest request);

  /** Hears that an attempt ended and its place is free. */
  abstract void freed(Attempt attempt, AttemptEnd end);

  /** Hears that a token was passed to the caller. */
  void progressed(SimRequest request) {}

  /** Returns the priority that the engine is told. */
  abstract int priority(SimRequest request);

  void loadReport(LoadReport report) {
    table.applyLoadReport(report, world.now());
  }

  void cacheEvent(CacheEvent event) {
    table.applyCacheEvent(event);
  }

  PlacementRequest placement(SimRequest r) {
    Set<UpstreamId> excluded = failedOn.getOrDefault(r, Set.of());
    int prompt = r.promptTokens + r.delivered;
    return new PlacementRequest(
        r.prefix, prompt, r.outputTokens - r.delivered, r.classPolicy.tier(), excluded);
  }

  final void send(SimRequest request, UpstreamId upstream) {
    request.attempts++;
    if (world.score.counts(request.arrivedAt)) {
      world.score.attempts++;
    }
    Attempt attempt = new Attempt(this, request, world.engines.get(upstream));
    running.put(request, attempt);
    attempt.start();
  }

  final void succeeded(Attempt attempt) {
    budget.succeeded(world.now());
    SimRequest request = attempt.request;
    request.completed = true;
    end(request);
    world.usefulWork += attempt.usefulWork();
    running.remove(request);
    freed(attempt, AttemptEnd.COMPLETED);
  }

  final void failed(Attempt attempt, ResultCode code, boolean written) {
    SimRequest request = attempt.request;
    running.remove(request);
    failedOn.computeIfAbsent(request, r -> new HashSet<>()).add(attempt.engine.id());
    freed(attempt, AttemptEnd.FAILED);
    FailedAttempt facts =
        new FailedAttempt(
            code,
            true,
            true,
            written,
            false,
            request.mayHaveRun,
            request.delivered > 0,
            request.delivered,
            request.attempts,
            request.deadline() + EXCHANGE_NANOS,
            0);
    request.mayHaveRun |= written;
    RetryDecision decision = retries.decide(facts, budget, world.now(), random);
    if (decision instanceof RetryDecision.Retry retry) {
      world.events.after(retry.delayNanos(), () -> again(request));
    } else if (decision instanceof RetryDecision.Resume resume) {
      world.events.after(resume.delayNanos(), () -> again(request));
    } else {
      end(request);
    }
  }

  private void again(SimRequest request) {
    if (!request.ended) {
      enqueue(request);
    }
  }

  final void refused(SimRequest request) {
    request.refused = true;
    end(request);
  }

  private void end(SimRequest request) {
    request.ended = true;
    request.endedAt = world.now();
    failedOn.remove(request);
  }

  /** The caller goes away unless the first token has come. */
  private void loseCaller(SimRequest request) {
    if (request.ended || request.firstTokenAt != SimRequest.NEVER) {
      return;
    }
    end(request);
    Attempt attempt = running.remove(request);
    if (attempt == null) {
      withdraw(request);
    } else {
      attempt.cancel();
      freed(attempt, AttemptEnd.CANCELLED);
    }
  }

  final void breakUnreachable() {
    List<Attempt> all = new ArrayList<>(running.values());
    for (Attempt attempt : all) {
      if (!world.reachable(domain, attempt.engine.domain())) {
        attempt.lose();
      }
    }
  }
}
