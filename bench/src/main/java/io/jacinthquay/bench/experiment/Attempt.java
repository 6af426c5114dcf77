package io.jacinthquay.bench.experiment;

import io.jacinthquay.bench.engine.EngineJob;
import io.jacinthquay.bench.engine.ModelEngine;
import io.jacinthquay.decision.placement.AttemptEnd;
import io.jacinthquay.decision.placement.Dispatch;
import io.jacinthquay.model.ResultCode;

/** One request on its way through one engine. */
final class Attempt implements EngineJob.Listener {
  /** Time until a router notices that it cannot reach an engine, in nanoseconds. */
  private static final long CONNECT_NANOS = 200 * World.MILLISECOND;

  final RouterNode router;
  final SimRequest request;
  final ModelEngine engine;
  private final World world;
  private final Dispatch dispatch;
  private final EngineJob job;
  private final int resumedFrom;
  private boolean over;
  private long firstTokenNanos = SimRequest.NEVER;

  Attempt(RouterNode router, SimRequest request, ModelEngine engine) {
    this.router = router;
    this.world = router.world;
    this.request = request;
    this.engine = engine;
    this.resumedFrom = request.delivered;
    this.dispatch =
        router.table.recordDispatch(engine.id(), router.placement(request), world.now());
    this.job =
        new EngineJob(
            request.prefix,
            request.promptTokens + request.delivered,
            request.outputTokens - request.delivered,
            router.priority(request),
            this);
  }

  /** Returns the time from dispatch to the first token; negative if none came. */
  long firstTokenNanos() {
    return firstTokenNanos;
  }

  /** Returns prompt and output tokens whose computation was of use. */
  long usefulWork() {
    return job.workedTokens() + resumedFrom;
  }

  long workedTokens() {
    return job.workedTokens();
  }

  void start() {
    if (!world.reachable(router.domain(), engine.domain())) {
      world.events.after(CONNECT_NANOS, () -> fail(ResultCode.UPSTREAM_UNREACHABLE, false));
      return;
    }
    world.events.after(World.NETWORK_NANOS, () -> engine.submit(job));
  }

  @Override
  public void firstToken(int cachedTokens) {
    later(
        () -> {
          router.table.recordFirstToken(dispatch, world.now());
          router.table.recordCachedTokens(dispatch, cachedTokens);
          world.score.firstToken(request, cachedTokens, world.now());
          if (request.firstTokenAt == SimRequest.NEVER) {
            request.firstTokenAt = world.now();
          }
          request.delivered++;
          firstTokenNanos = world.now() - dispatch.startedAtNanos();
        });
  }

  @Override
  public void token() {
    later(
        () -> {
          router.table.recordTokens(dispatch, 1, world.now());
          request.delivered++;
          router.progressed(request);
        });
  }

  @Override
  public void completed() {
    later(
        () -> {
          over = true;
          router.table.recordEnd(dispatch, AttemptEnd.COMPLETED, world.now());
          router.succeeded(this);
        });
  }

  @Override
  public void broken() {
    later(() -> fail(ResultCode.UPSTREAM_BROKE, true));
  }

  /** Loses the connection. */
  void lose() {
    engine.cancel(job);
    fail(ResultCode.UPSTREAM_BROKE, true);
  }

  private void fail(ResultCode code, boolean written) {
    if (over) {
      return;
    }
    over = true;
    router.table.recordEnd(dispatch, AttemptEnd.FAILED, world.now());
    router.failed(this, code, written);
  }

  /** Stops without blame. */
  void cancel() {
    over = true;
    engine.cancel(job);
    router.table.recordEnd(dispatch, AttemptEnd.CANCELLED, world.now());
  }

  private void later(Runnable action) {
    world.events.after(
        World.NETWORK_NANOS,
        () -> {
          if (!over) {
            action.run();
          }
        });
  }
}
