package io.jacinthquay.router.service.dispatch;

import io.jacinthquay.decision.admission.Admission;
import io.jacinthquay.decision.admission.AdmissionAction;
import io.jacinthquay.decision.admission.ScopeStatus;
import io.jacinthquay.decision.bearing.LoadReport;
import io.jacinthquay.decision.placement.AttemptEnd;
import io.jacinthquay.decision.placement.CacheEvent;
import io.jacinthquay.decision.placement.Dispatch;
import io.jacinthquay.decision.placement.PlacementSettings;
import io.jacinthquay.decision.retry.FailedAttempt;
import io.jacinthquay.decision.retry.RetryDecision;
import io.jacinthquay.decision.retry.RetryPolicy;
import io.jacinthquay.decision.slots.ClassPolicies;
import io.jacinthquay.decision.slots.Completion;
import io.jacinthquay.decision.slots.DomainView;
import io.jacinthquay.decision.slots.SlotMessage;
import io.jacinthquay.decision.slots.SlotScope;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.VmId;
import io.jacinthquay.model.policy.Policy;
import io.jacinthquay.router.port.EngineLoad;
import io.jacinthquay.router.port.VmEntry;
import io.jacinthquay.router.service.dispatch.PoolTables.Pool;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Dispatches requests by admission over slots, placement, output estimates and retry decisions.
 *
 * <p>All decision logic runs under the lock of this class. Callbacks to requests never run under
 * the lock: they are executed on the request's thread, or after the lock was released if the caller
 * is already on that thread.
 */
public final class AdmissionDispatcher implements Dispatcher {
  private static final Logger log = LogManager.getLogger();

  private final Object lock = new Object();
  private final Admission admission;
  private final PoolTables tables;
  private final AdmissionRequestFactory requestFactory;
  private final RetryPolicy retries = new RetryPolicy();
  private final SplittableRandom random;
  private final SlotMessageSender peers;
  private final Map<RequestId, TrackedRequest> trackedRequests = new HashMap<>();

  /**
   * Creates a dispatcher.
   *
   * @param self the router's VM
   * @param incarnation number of this start; must be larger than that of every earlier start of the
   *     VM
   * @param local the router's failure domain
   * @param classes looks up the current class policies
   * @param peers sends messages to other routers
   * @param seed the seed of the random choices
   */
  public AdmissionDispatcher(
      VmId self,
      long incarnation,
      DomainId local,
      ClassPolicies classes,
      SlotMessageSender peers,
      long seed) {
    this.admission = Admission.builder(self, incarnation, classes).build();
    this.tables = new PoolTables(self, local, PlacementSettings.defaults());
    this.random = new SplittableRandom(seed);
    this.requestFactory = new AdmissionRequestFactory(random);
    this.peers = peers;
  }

  /**
   * Updates the upstreams from the platform's VM list and the policy. The policy lists the VMs and
   * failure domains that operators have taken out of service.
   */
  public void updateUpstreams(List<VmEntry> list, Policy policy) {
    synchronized (lock) {
      long now = System.nanoTime();
      tables.update(list, policy, now);
      tables
          .specs(policy, now)
          .forEach((scope, specs) -> perform(admission.setUpstreams(now, scope, specs), null));
    }
  }

  /** Updates the set of routers in a failure domain. */
  public void updateDomainView(DomainId domain, DomainView view) {
    synchronized (lock) {
      perform(admission.setView(System.nanoTime(), domain, view), null);
    }
  }

  /** Handles a message from another router. */
  public void receive(SlotMessage message) {
    synchronized (lock) {
      perform(admission.receive(System.nanoTime(), message), null);
    }
  }

  /** Runs the timers that are due; must be called every few milliseconds. */
  public void tick() {
    synchronized (lock) {
      long now = System.nanoTime();
      if (now >= admission.nextTickNanos()) {
        perform(admission.tick(now), null);
      }
    }
  }

  /** Releases unused slots and closes sessions, so that other routers can use the slots at once. */
  public void releaseUnusedSlots() {
    synchronized (lock) {
      perform(admission.leave(System.nanoTime()), null);
    }
  }

  /** Records a load report of an engine. */
  public void reportLoad(VmEntry entry, EngineLoad load) {
    synchronized (lock) {
      tables.pool(entry.pool().orElseThrow()).ifPresent(pool -> applyLoad(pool, entry, load));
    }
  }

  private void applyLoad(Pool pool, VmEntry entry, EngineLoad load) {
    long now = System.nanoTime();
    SlotScope scope = new SlotScope(entry.pool().orElseThrow(), entry.domain());
    LoadReport report =
        new LoadReport(
            entry.name(),
            load.measuredNanos(),
            load.running(),
            load.waiting(),
            !load.warm(),
            load.limit());
    pool.table.applyLoadReport(report, now);
    perform(admission.reportLoad(now, scope, report), null);
  }

  /** Records a change of an engine's prefix cache. */
  public void reportCacheEvent(VmEntry entry, CacheEvent event) {
    synchronized (lock) {
      tables.pool(entry.pool().orElseThrow()).ifPresent(pool -> pool.table.applyCacheEvent(event));
    }
  }

  /** Returns the admission status of every pool and failure domain. */
  public Map<SlotScope, ScopeStatus> status() {
    synchronized (lock) {
      return admission.status(System.nanoTime());
    }
  }

  @Override
  public void submit(DispatchRequest request, DispatchListener listener) {
    List<Runnable> calls;
    synchronized (lock) {
      calls = submitLocked(request, listener);
    }
    calls.forEach(Runnable::run);
  }

  private List<Runnable> submitLocked(DispatchRequest request, DispatchListener listener) {
    long now = System.nanoTime();
    Optional<Pool> pool = tables.pool(request.pool());
    if (pool.isEmpty()) {
      return List.of(() -> listener.refused(Failure.of(ResultCode.NO_UPSTREAM), 0));
    }
    if (!request.answerStarted() && request.placement().excluded().isEmpty()) {
      pool.get().budget.requested();
    }
    return requestFactory
        .create(request, pool.get(), now)
        .map(
            admissionRequest -> {
              trackedRequests.put(request.id(), new TrackedRequest(request, listener));
              return perform(admission.submit(now, admissionRequest), listener);
            })
        .orElse(List.of(() -> listener.refused(Failure.of(ResultCode.NO_UPSTREAM), 0)));
  }

  /**
   * Performs the actions of the admission logic. Callbacks to {@code current} are returned, so that
   * the caller can run them without the lock; all others are executed on their request's thread.
   */
  private List<Runnable> perform(List<AdmissionAction> actions, DispatchListener current) {
    List<Runnable> currentCalls = new ArrayList<>();
    for (AdmissionAction action : actions) {
      if (action instanceof AdmissionAction.Send send) {
        peers.send(send.to(), send.message());
        continue;
      }
      TrackedRequest tracked = trackedRequests.get(requestId(action));
      if (tracked == null) {
        continue;
      }
      Runnable call = callback(action, tracked);
      if (tracked.listener() == current) {
        currentCalls.add(call);
      } else {
        executeOnThread(tracked.listener(), call);
      }
    }
    return currentCalls;
  }

  private static RequestId requestId(AdmissionAction action) {
    if (action instanceof AdmissionAction.Dispatch dispatch) {
      return dispatch.request();
    }
    if (action instanceof AdmissionAction.Refuse refuse) {
      return refuse.request();
    }
    return ((AdmissionAction.Preempt) action).request();
  }

  private Runnable callback(AdmissionAction action, TrackedRequest tracked) {
    DispatchListener listener = tracked.listener();
    if (action instanceof AdmissionAction.Dispatch dispatch) {
      PlacedGrant grant = grant(tracked.request(), dispatch);
      return () -> listener.granted(grant);
    }
    if (action instanceof AdmissionAction.Refuse refuse) {
      trackedRequests.remove(refuse.request());
      long retryMillis = TimeUnit.NANOSECONDS.toMillis(refuse.retryAfterNanos());
      return () -> listener.refused(Failure.of(refuse.code()), retryMillis);
    }
    return listener::preempt;
  }

  private PlacedGrant grant(DispatchRequest request, AdmissionAction.Dispatch action) {
    Pool pool = tables.pool(request.pool()).orElseThrow();
    Dispatch dispatch =
        pool.table.recordDispatch(action.upstream(), request.placement(), System.nanoTime());
    return new PlacedGrant(request, pool.entries.get(action.upstream()), pool, dispatch);
  }

  private static void executeOnThread(DispatchListener listener, Runnable call) {
    try {
      listener.thread().execute(call);
    } catch (RejectedExecutionException e) {
      log.warn("dropped a callback to a request, because its thread has terminated");
    }
  }

  @Override
  public void cancel(RequestId id) {
    synchronized (lock) {
      if (trackedRequests.remove(id) != null) {
        perform(admission.cancel(System.nanoTime(), id), null);
      }
    }
  }

  @Override
  public void recordFirstToken(Grant grant) {
    PlacedGrant placed = (PlacedGrant) grant;
    if (placed.dispatch().hasFirstToken()) {
      return;
    }
    synchronized (lock) {
      placed.pool().table.recordFirstToken(placed.dispatch(), System.nanoTime());
    }
  }

  @Override
  public void recordTokens(Grant grant, int count) {
    PlacedGrant placed = (PlacedGrant) grant;
    int newTokens = placed.addTokens(count);
    if (newTokens == 0) {
      return;
    }
    synchronized (lock) {
      long now = System.nanoTime();
      placed.pool().table.recordTokens(placed.dispatch(), newTokens, now);
      long processedTokens = placed.request().placement().promptTokens() + placed.totalTokens();
      long expectedTokens = requestFactory.expectedAfter(placed.request(), placed.totalTokens());
      perform(
          admission.reportProgress(now, placed.request().id(), processedTokens, expectedTokens),
          null);
    }
  }

  @Override
  public void recordCachedTokens(Grant grant, int tokens) {
    PlacedGrant placed = (PlacedGrant) grant;
    synchronized (lock) {
      placed.pool().table.recordCachedTokens(placed.dispatch(), tokens);
    }
  }

  @Override
  public void recordEnd(Grant grant, AttemptReport report) {
    PlacedGrant placed = (PlacedGrant) grant;
    synchronized (lock) {
      long now = System.nanoTime();
      recordAttemptEnd(placed, report, now);
      RequestId id = placed.request().id();
      trackedRequests.remove(id);
      long tokens = report.inputTokens() + report.outputTokens();
      Completion completion =
          new Completion(report.end(), tokens, report.firstTokenNanos(), report.onTarget());
      perform(admission.finish(now, id, completion), null);
    }
  }

  private void recordAttemptEnd(PlacedGrant placed, AttemptReport report, long now) {
    placed.pool().table.recordEnd(placed.dispatch(), attemptEnd(report.end()), now);
    if (report.end() == Completion.End.DONE) {
      placed.pool().budget.succeeded(now);
      requestFactory.recordOutput(placed.request(), report.outputTokens());
    }
  }

  private static AttemptEnd attemptEnd(Completion.End end) {
    return switch (end) {
      case DONE -> AttemptEnd.COMPLETED;
      case REFUSED -> AttemptEnd.REFUSED;
      case FAILED -> AttemptEnd.FAILED;
      default -> AttemptEnd.CANCELLED;
    };
  }

  @Override
  public void recordPreemption(Grant grant, AttemptReport report, long remainingTokens) {
    PlacedGrant placed = (PlacedGrant) grant;
    synchronized (lock) {
      long now = System.nanoTime();
      recordAttemptEnd(placed, report, now);
      long processedTokens = report.inputTokens() + report.outputTokens();
      perform(
          admission.reportPreempted(now, placed.request().id(), processedTokens, remainingTokens),
          null);
    }
  }

  @Override
  public RetryDecision decideRetry(DispatchRequest request, FailedAttempt attempt) {
    synchronized (lock) {
      Pool pool = tables.pool(request.pool()).orElseThrow();
      return retries.decide(attempt, pool.budget, System.nanoTime(), random);
    }
  }
}
