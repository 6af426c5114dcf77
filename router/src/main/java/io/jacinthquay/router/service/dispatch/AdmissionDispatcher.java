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
 * Runs the pure decisions under one lock: admission over slots, placement, estimates and retries.
 *
 * <p>Callbacks to requests never happen under the lock: they are handed to the request's thread, or
 * made after the lock is given back where the caller is on that thread already.
 */
public final class AdmissionDispatcher implements Dispatcher {
  private static final Logger log = LogManager.getLogger();

  private final Object lock = new Object();
  private final Admission admission;
  private final PoolTables tables;
  private final RequestShaper shaper;
  private final RetryPolicy retries = new RetryPolicy();
  private final SplittableRandom random;
  private final SlotSender peers;
  private final Map<RequestId, Ticket> tickets = new HashMap<>();

  /**
   * Returns a dispatcher.
   *
   * @param self the router's VM
   * @param incarnation larger than that of every earlier start of the VM
   * @param local the router's failure domain
   * @param classes looks up the classes in force
   * @param peers carries messages to other routers
   * @param seed of the random choices
   */
  public AdmissionDispatcher(
      VmId self,
      long incarnation,
      DomainId local,
      ClassPolicies classes,
      SlotSender peers,
      long seed) {
    this.admission = Admission.builder(self, incarnation, classes).build();
    this.tables = new PoolTables(self, local, PlacementSettings.defaults());
    this.random = new SplittableRandom(seed);
    this.shaper = new RequestShaper(random);
    this.peers = peers;
  }

  /** Takes in the platform's list and what operators have taken out. */
  public void update(List<VmEntry> list, Policy policy) {
    synchronized (lock) {
      long now = System.nanoTime();
      tables.update(list, policy, now);
      tables
          .specs(policy, now)
          .forEach((scope, specs) -> perform(admission.upstreams(now, scope, specs), null));
    }
  }

  /** Takes in which routers a failure domain has. */
  public void view(DomainId domain, DomainView view) {
    synchronized (lock) {
      perform(admission.view(System.nanoTime(), domain, view), null);
    }
  }

  /** Takes in a message of another router. */
  public void receive(SlotMessage message) {
    synchronized (lock) {
      perform(admission.receive(System.nanoTime(), message), null);
    }
  }

  /** Does what is due; call it every few milliseconds. */
  public void tick() {
    synchronized (lock) {
      long now = System.nanoTime();
      if (now >= admission.nextTickNanos()) {
        perform(admission.tick(now), null);
      }
    }
  }

  /** Gives up unused slots and sessions, so that other routers take over at once. */
  public void leave() {
    synchronized (lock) {
      perform(admission.leave(System.nanoTime()), null);
    }
  }

  /** Takes in what an engine reported of its load. */
  public void load(VmEntry entry, EngineLoad load) {
    synchronized (lock) {
      tables.pool(entry.pool().orElseThrow()).ifPresent(pool -> load(pool, entry, load));
    }
  }

  private void load(Pool pool, VmEntry entry, EngineLoad load) {
    long now = System.nanoTime();
    SlotScope scope = new SlotScope(entry.pool().orElseThrow(), entry.domain());
    LoadReport report =
        new LoadReport(
            entry.name(),
            load.takenNanos(),
            load.running(),
            load.waiting(),
            !load.warm(),
            load.limit());
    pool.table.report(report, now);
    perform(admission.load(now, scope, report), null);
  }

  /** Takes in a change of an engine's prefix cache. */
  public void cacheEvent(VmEntry entry, CacheEvent event) {
    synchronized (lock) {
      tables.pool(entry.pool().orElseThrow()).ifPresent(pool -> pool.table.cacheEvent(event));
    }
  }

  /** Returns the state of every pool and failure domain. */
  public Map<SlotScope, ScopeStatus> status() {
    synchronized (lock) {
      return admission.status(System.nanoTime());
    }
  }

  @Override
  public void submit(DispatchRequest request, Job job) {
    List<Runnable> own;
    synchronized (lock) {
      own = submitLocked(request, job);
    }
    own.forEach(Runnable::run);
  }

  private List<Runnable> submitLocked(DispatchRequest request, Job job) {
    long now = System.nanoTime();
    Optional<Pool> pool = tables.pool(request.pool());
    if (pool.isEmpty()) {
      return List.of(() -> job.refused(Failure.of(ResultCode.NO_UPSTREAM), 0));
    }
    if (!request.answerStarted() && request.placement().excluded().isEmpty()) {
      pool.get().budget.requested();
    }
    return shaper
        .shape(request, pool.get(), now)
        .map(
            shaped -> {
              tickets.put(request.id(), new Ticket(request, job));
              return perform(admission.submit(now, shaped), job);
            })
        .orElse(List.of(() -> job.refused(Failure.of(ResultCode.NO_UPSTREAM), 0)));
  }

  /** Returns the callbacks to one job; all others are handed to their threads. */
  private List<Runnable> perform(List<AdmissionAction> actions, Job own) {
    List<Runnable> ownCalls = new ArrayList<>();
    for (AdmissionAction action : actions) {
      if (action instanceof AdmissionAction.Send send) {
        peers.send(send.to(), send.message());
        continue;
      }
      Ticket ticket = tickets.get(requestOf(action));
      if (ticket == null) {
        continue;
      }
      Runnable call = callback(action, ticket);
      if (ticket.job() == own) {
        ownCalls.add(call);
      } else {
        handOver(ticket.job(), call);
      }
    }
    return ownCalls;
  }

  private static RequestId requestOf(AdmissionAction action) {
    if (action instanceof AdmissionAction.Dispatch dispatch) {
      return dispatch.request();
    }
    if (action instanceof AdmissionAction.Refuse refuse) {
      return refuse.request();
    }
    return ((AdmissionAction.Preempt) action).request();
  }

  private Runnable callback(AdmissionAction action, Ticket ticket) {
    Job job = ticket.job();
    if (action instanceof AdmissionAction.Dispatch dispatch) {
      PlacedGrant grant = grant(ticket.request(), dispatch);
      return () -> job.granted(grant);
    }
    if (action instanceof AdmissionAction.Refuse refuse) {
      tickets.remove(refuse.request());
      long retryMillis = TimeUnit.NANOSECONDS.toMillis(refuse.retryAfterNanos());
      return () -> job.refused(Failure.of(refuse.code()), retryMillis);
    }
    return job::preempt;
  }

  private PlacedGrant grant(DispatchRequest request, AdmissionAction.Dispatch action) {
    Pool pool = tables.pool(request.pool()).orElseThrow();
    Dispatch dispatch =
        pool.table.dispatched(action.upstream(), request.placement(), System.nanoTime());
    return new PlacedGrant(request, pool.entries.get(action.upstream()), pool, dispatch);
  }

  private static void handOver(Job job, Runnable call) {
    try {
      job.thread().execute(call);
    } catch (RejectedExecutionException e) {
      log.warn("a request could not be told, because its thread has ended");
    }
  }

  @Override
  public void withdraw(RequestId id) {
    synchronized (lock) {
      if (tickets.remove(id) != null) {
        perform(admission.cancel(System.nanoTime(), id), null);
      }
    }
  }

  @Override
  public void firstToken(Grant grant) {
    PlacedGrant placed = (PlacedGrant) grant;
    if (placed.dispatch().hasFirstToken()) {
      return;
    }
    synchronized (lock) {
      placed.pool().table.firstToken(placed.dispatch(), System.nanoTime());
    }
  }

  @Override
  public void tokens(Grant grant, int count) {
    PlacedGrant placed = (PlacedGrant) grant;
    int due = placed.gather(count);
    if (due == 0) {
      return;
    }
    synchronized (lock) {
      long now = System.nanoTime();
      placed.pool().table.tokens(placed.dispatch(), due, now);
      long spent = placed.request().placement().promptTokens() + placed.total();
      long expected = shaper.expectedAfter(placed.request(), placed.total());
      perform(admission.progress(now, placed.request().id(), spent, expected), null);
    }
  }

  @Override
  public void cachedTokens(Grant grant, int tokens) {
    PlacedGrant placed = (PlacedGrant) grant;
    synchronized (lock) {
      placed.pool().table.cachedTokens(placed.dispatch(), tokens);
    }
  }

  @Override
  public void finished(Grant grant, AttemptReport report) {
    PlacedGrant placed = (PlacedGrant) grant;
    synchronized (lock) {
      long now = System.nanoTime();
      ended(placed, report, now);
      RequestId id = placed.request().id();
      tickets.remove(id);
      long tokens = report.inputTokens() + report.outputTokens();
      Completion completion =
          new Completion(report.end(), tokens, report.firstTokenNanos(), report.onTarget());
      perform(admission.finish(now, id, completion), null);
    }
  }

  private void ended(PlacedGrant placed, AttemptReport report, long now) {
    placed.pool().table.ended(placed.dispatch(), attemptEnd(report.end()), now);
    if (report.end() == Completion.End.DONE) {
      placed.pool().budget.succeeded(now);
      shaper.finished(placed.request(), report.outputTokens());
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
  public void preempted(Grant grant, AttemptReport report, long remainingTokens) {
    PlacedGrant placed = (PlacedGrant) grant;
    synchronized (lock) {
      long now = System.nanoTime();
      ended(placed, report, now);
      long spent = report.inputTokens() + report.outputTokens();
      perform(admission.preempted(now, placed.request().id(), spent, remainingTokens), null);
    }
  }

  @Override
  public RetryDecision afterFailure(DispatchRequest request, FailedAttempt attempt) {
    synchronized (lock) {
      Pool pool = tables.pool(request.pool()).orElseThrow();
      return retries.decide(attempt, pool.budget, System.nanoTime(), random);
    }
  }
}
