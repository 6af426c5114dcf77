package io.jacinthquay.bench.experiment;

import io.jacinthquay.bench.engine.EngineJob;
import io.jacinthquay.bench.engine.ModelEngine;
import io.jacinthquay.decision.placement.AttemptEnd;
import io.jacinthquay.decision.placement.Dispatch;
import io.jacinthquay.model.ResultCode;

/** One attempt to execute a request on one engine. */
final class Attempt implements EngineJob.Listener {
  /** Time until a connection attempt to an unreachable engine fails, in nanoseconds. */
  private static final long CONNECT_TIMEOUT_NANOS = 200 * Simulation.NANOS_PER_MILLISECOND;

  final RouterNode router;
  final SimRequest request;
  final ModelEngine engine;
  private final Simulation simulation;
  private final Dispatch dispatch;
  private final EngineJob job;
  private final int resumedFrom;
  private boolean ended;
  private long firstTokenNanos = SimRequest.NEVER;

  Attempt(RouterNode router, SimRequest request, ModelEngine engine) {
    this.router = router;
    this.simulation = router.simulation;
    this.request = request;
    this.engine = engine;
    this.resumedFrom = request.deliveredTokens;
    this.dispatch =
        router.table.recordDispatch(
            engine.id(), router.placementRequest(request), simulation.now());
    this.job =
        new EngineJob(
            request.prefix,
            request.promptTokens + request.deliveredTokens,
            request.outputTokens - request.deliveredTokens,
            router.priority(request),
            this);
  }

  /** Returns the time from dispatch to the first token; negative if there was none. */
  long firstTokenNanos() {
    return firstTokenNanos;
  }

  /**
   * Returns the prompt and output tokens whose computation was useful, including the output tokens
   * delivered by earlier attempts.
   */
  long usefulTokens() {
    return job.computedTokens() + resumedFrom;
  }

  /** Returns the prompt and output tokens computed for this attempt. */
  long computedTokens() {
    return job.computedTokens();
  }

  /** Sends the request to the engine. */
  void start() {
    if (!simulation.isReachable(router.domain(), engine.domain())) {
      simulation.events.after(
          CONNECT_TIMEOUT_NANOS, () -> fail(ResultCode.UPSTREAM_UNREACHABLE, false));
      return;
    }
    simulation.events.after(Simulation.NETWORK_NANOS, () -> engine.submit(job));
  }

  @Override
  public void onFirstToken(int cachedTokens) {
    afterNetworkDelay(
        () -> {
          router.table.recordFirstToken(dispatch, simulation.now());
          router.table.recordCachedTokens(dispatch, cachedTokens);
          simulation.scorecard.recordFirstToken(request, cachedTokens, simulation.now());
          if (request.firstTokenAt == SimRequest.NEVER) {
            request.firstTokenAt = simulation.now();
          }
          request.deliveredTokens++;
          firstTokenNanos = simulation.now() - dispatch.startedAtNanos();
        });
  }

  @Override
  public void onToken() {
    afterNetworkDelay(
        () -> {
          router.table.recordTokens(dispatch, 1, simulation.now());
          request.deliveredTokens++;
          router.onTokenForwarded(request);
        });
  }

  @Override
  public void onCompleted() {
    afterNetworkDelay(
        () -> {
          ended = true;
          router.table.recordEnd(dispatch, AttemptEnd.COMPLETED, simulation.now());
          router.onSuccess(this);
        });
  }

  @Override
  public void onFailed() {
    afterNetworkDelay(() -> fail(ResultCode.UPSTREAM_BROKE, true));
  }

  /** Breaks the connection to the engine; the attempt fails. */
  void loseConnection() {
    engine.cancel(job);
    fail(ResultCode.UPSTREAM_BROKE, true);
  }

  private void fail(ResultCode code, boolean written) {
    if (ended) {
      return;
    }
    ended = true;
    router.table.recordEnd(dispatch, AttemptEnd.FAILED, simulation.now());
    router.onFailure(this, code, written);
  }

  /** Cancels the attempt, which does not count as a failure of the engine. */
  void cancel() {
    ended = true;
    engine.cancel(job);
    router.table.recordEnd(dispatch, AttemptEnd.CANCELLED, simulation.now());
  }

  /** Runs an action one network delay later, unless the attempt has ended by then. */
  private void afterNetworkDelay(Runnable action) {
    simulation.events.after(
        Simulation.NETWORK_NANOS,
        () -> {
          if (!ended) {
            action.run();
          }
        });
  }
}
