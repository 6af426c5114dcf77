package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.retry.RouterCount;
import io.jacinthquay.decision.retry.SharedRetryBudget;
import io.jacinthquay.model.PoolName;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * The retry budgets of all pools and this router's part of what all routers share; used on one
 * thread, except for the metrics.
 */
final class RetryBudgets {
  private static final int PERCENT = 100;

  private static final class PoolBudget {
    final SharedRetryBudget budget;
    volatile long left;

    PoolBudget(SharedRetryBudget budget) {
      this.budget = budget;
    }
  }

  /** Period over which the number of routers is estimated if the retries have no window. */
  private static final Duration DEFAULT_WINDOW = Duration.ofSeconds(10);

  private final Optional<ForwardOptions.RetryLimits> limits;
  private final ForwardMetrics metrics;
  private final long startedAt;
  private final long windowNanos;
  private final RouterCount routers;
  private final Map<PoolName, PoolBudget> budgets = new HashMap<>();
  private volatile long routerCount;
  private volatile long sharePercent;
  private volatile long updatedAt;

  /**
   * Returns budgets of which nothing is spent, for a router that starts now.
   *
   * @param clock monotonic, in nanoseconds
   */
  RetryBudgets(ForwardOptions options, ForwardMetrics metrics, LongSupplier clock) {
    this.limits = options.retryLimits();
    this.metrics = metrics;
    this.startedAt = clock.getAsLong();
    this.windowNanos =
        limits.map(ForwardOptions.RetryLimits::window).orElse(DEFAULT_WINDOW).toNanos();
    this.routers = new RouterCount(windowNanos);
    metrics.gauge("jq_forward_router_count", () -> routerCount);
    metrics.gauge("jq_forward_retry_extra_percent", () -> shownSharePercent(clock.getAsLong()));
  }

  /**
   * Updates the number of routers.
   *
   * @return a conservative estimate of it
   */
  int updateRouters(int count, long now) {
    routers.update(count, now);
    updatedAt = now;
    routerCount = routers.value(now);
    share(now);
    return routers.value(now);
  }

  /**
   * Returns this router's part for the metrics. A router that was suspended has no part until the
   * next report of the leader, which is computed only when a request needs it.
   */
  private long shownSharePercent(long now) {
    return now - updatedAt <= windowNanos ? sharePercent : 0;
  }

  /** Returns this router's part of the shared extra and shows it in the metrics. */
  private double share(long now) {
    double share = routers.share(now);
    sharePercent = Math.round(share * PERCENT);
    return share;
  }

  private PoolBudget budget(PoolName pool, ForwardOptions.RetryLimits retries) {
    return budgets.computeIfAbsent(
        pool,
        name -> {
          PoolBudget budget =
              new PoolBudget(
                  new SharedRetryBudget(
                      retries.ratio(), retries.extra(), retries.window().toNanos(), startedAt));
          metrics.gauge(
              "jq_forward_retries_left{pool=\"" + name.value() + "\"}", () -> budget.left);
          return budget;
        });
  }

  /** Records the first send of a request. */
  void countFirstSend(PoolName pool, long now) {
    if (limits.isEmpty()) {
      return;
    }
    PoolBudget budget = budget(pool, limits.get());
    budget.budget.sent(now);
    budget.left = (long) Math.floor(budget.budget.left(share(now), now));
  }

  /** Takes one retry from the budget of a pool if it allows it; always allows it without limits. */
  boolean tryAcquire(PoolName pool, long now) {
    if (limits.isEmpty()) {
      metrics.countRetry(pool.value(), true);
      return true;
    }
    PoolBudget budget = budget(pool, limits.get());
    double share = share(now);
    boolean taken = budget.budget.tryTake(share, now);
    budget.left = (long) Math.floor(budget.budget.left(share, now));
    metrics.countRetry(pool.value(), taken);
    return taken;
  }
}
