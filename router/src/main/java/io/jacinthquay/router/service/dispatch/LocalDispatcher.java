package io.jacinthquay.router.service.dispatch;

import io.jacinthquay.decision.placement.AttemptEnd;
import io.jacinthquay.decision.placement.Dispatch;
import io.jacinthquay.decision.placement.Placement;
import io.jacinthquay.decision.placement.PlacementSettings;
import io.jacinthquay.decision.retry.FailedAttempt;
import io.jacinthquay.decision.retry.RetryDecision;
import io.jacinthquay.decision.retry.RetryPolicy;
import io.jacinthquay.decision.slots.Completion;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.VmId;
import io.jacinthquay.model.policy.Policy;
import io.jacinthquay.router.port.VmEntry;
import io.jacinthquay.router.service.dispatch.PoolTables.PlacedGrant;
import io.jacinthquay.router.service.dispatch.PoolTables.Pool;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** Sends every request at once to the upstream with the least expected wait. */
public final class LocalDispatcher implements Dispatcher {
  private final Object lock = new Object();
  private final PoolTables tables;
  private final RetryPolicy retries = new RetryPolicy();
  private final SplittableRandom random;

  /** Returns a dispatcher. */
  public LocalDispatcher(VmId self, DomainId local, long seed) {
    this.tables = new PoolTables(self, local, PlacementSettings.defaults());
    this.random = new SplittableRandom(seed);
  }

  /** Takes in the platform's list. */
  public void update(List<VmEntry> list, Policy policy) {
    synchronized (lock) {
      tables.update(list, policy, System.nanoTime());
    }
  }

  @Override
  public void submit(DispatchRequest request, Job job) {
    Optional<PlacedGrant> grant;
    synchronized (lock) {
      grant = tables.pool(request.pool()).flatMap(pool -> place(request, pool));
    }
    if (grant.isPresent()) {
      job.granted(grant.get());
    } else {
      job.refused(Failure.of(ResultCode.NO_UPSTREAM), 0);
    }
  }

  private Optional<PlacedGrant> place(DispatchRequest request, Pool pool) {
    long now = System.nanoTime();
    pool.budget.requested(now);
    Optional<Placement> placement =
        pool.placer.place(request.placement(), id -> pool.serves(id, request.model()), now, random);
    return placement.map(
        choice -> {
          Dispatch dispatch = pool.table.dispatched(choice.upstream(), request.placement(), now);
          return new PlacedGrant(request, pool.entries.get(choice.upstream()), pool, dispatch);
        });
  }

  @Override
  public void withdraw(RequestId id) {
    // Nothing waits here.
  }

  @Override
  public void firstToken(Grant grant) {
    synchronized (lock) {
      PlacedGrant placed = (PlacedGrant) grant;
      placed.pool().table.firstToken(placed.dispatch(), System.nanoTime());
    }
  }

  @Override
  public void tokens(Grant grant, int count) {
    synchronized (lock) {
      PlacedGrant placed = (PlacedGrant) grant;
      placed.pool().table.tokens(placed.dispatch(), count, System.nanoTime());
    }
  }

  @Override
  public void cachedTokens(Grant grant, int tokens) {
    synchronized (lock) {
      PlacedGrant placed = (PlacedGrant) grant;
      placed.pool().table.cachedTokens(placed.dispatch(), tokens);
    }
  }

  @Override
  public void finished(Grant grant, AttemptReport report) {
    synchronized (lock) {
      PlacedGrant placed = (PlacedGrant) grant;
      long now = System.nanoTime();
      placed.pool().table.ended(placed.dispatch(), attemptEnd(report.end()), now);
      if (report.end() == Completion.End.DONE) {
        placed.pool().budget.succeeded(now);
      }
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
    finished(grant, report);
  }

  @Override
  public RetryDecision afterFailure(DispatchRequest request, FailedAttempt attempt) {
    synchronized (lock) {
      Pool pool = tables.pool(request.pool()).orElseThrow();
      return retries.decide(attempt, pool.budget, System.nanoTime(), random);
    }
  }
}
