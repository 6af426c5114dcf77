package io.jacinthquay.decision.scaling;

import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.routing.ScalingSpec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Plans the size of one pool for its load at the lowest cost that its risks allow.
 *
 * <p>Under steady load most requests run on cheap upstreams, which the platform may reclaim for a
 * whole failure domain at a time. Enough other upstreams remain to carry the load if that happens
 * in the domain with the most cheap ones, and a few regular ones always remain. In a burst the pool
 * grows at once. It shrinks only after the load has been low for long, because a new upstream takes
 * seconds to serve and a stopped one loses its prompt cache. Not thread-safe.
 */
public final class FleetPlanner implements PoolSizer {
  /** Prompt tokens per second that one upstream reads while its streams stay on target. */
  private static final double PROMPT_TOKENS_PER_SECOND = 17_000;

  /** Concurrent requests that one upstream runs with pauses within the targets. */
  private static final double CONCURRENT_REQUESTS = 9;

  /** Headroom factor over the current need, for bursts that end before an order takes effect. */
  private static final double HEADROOM = 1.5;

  /** Smoothing weight of the newest sample when the load rises, at two samples per second. */
  private static final double RISE_WEIGHT = 0.5;

  /**
   * Smoothing weight of the newest sample when the load falls; low, so that a drop counts only
   * after seconds.
   */
  private static final double FALL_WEIGHT = 0.04;

  /** Share of the load that regular upstreams can carry if all cheap ones are reclaimed at once. */
  private static final double REGULAR_SHARE = 0.1;

  /** Fewest upstreams per failure domain, independent of the load. */
  private static final int MIN_PER_DOMAIN = 2;

  /** Time before a refused kind of upstream is ordered again, in nanoseconds. */
  private static final long REFUSED_BACKOFF_NANOS = 4_000_000_000L;

  /** Time before an order that had no effect is repeated, in nanoseconds. */
  private static final long INEFFECTIVE_REPEAT_NANOS = 12_000_000_000L;

  /** Time before an order with unknown outcome is repeated, in nanoseconds; as after a refusal. */
  private static final long UNKNOWN_OUTCOME_REPEAT_NANOS = REFUSED_BACKOFF_NANOS;

  /** Time between two orders that shrink a kind, in nanoseconds; each loses a warm cache. */
  private static final long SHRINK_INTERVAL_NANOS = 6_000_000_000L;

  /** Time for which the list must be unchanged before the first order, in nanoseconds. */
  private static final long SETTLE_NANOS = 2_000_000_000L;

  private record Kind(DomainId domain, boolean cheap) {}

  private record Order(int count, long atNanos) {}

  private final ScalingSpec spec;
  private final Map<Kind, Order> lastOrders = new HashMap<>();
  private final Map<Kind, Long> refusedAt = new HashMap<>();
  private final Set<Kind> unknownOutcomes = new HashSet<>();
  private double need;
  private boolean hasLoad;
  private int lastListCount = -1;
  private long listUnchangedSince;
  private long startedAt;

  /** Returns a planner for one pool. */
  public FleetPlanner(ScalingSpec spec) {
    this.spec = spec;
  }

  /** Returns the number of upstreams that the load needs, from the last plan. */
  public double need() {
    return need;
  }

  @Override
  public SizingStatus status() {
    return new SizingStatus(need, HEADROOM, 0);
  }

  @Override
  public List<FleetPlan> plan(FleetObservation observation, long now) {
    return plan(observation.listings(), observation.load(), observation.domains(), now);
  }

  @Override
  public void refused(FleetPlan plan, long now) {
    Kind kind = new Kind(plan.domain(), plan.cheap());
    refusedAt.put(kind, now);
    lastOrders.remove(kind);
    unknownOutcomes.remove(kind);
  }

  @Override
  public void recordUnknownOutcome(FleetPlan plan) {
    unknownOutcomes.add(new Kind(plan.domain(), plan.cheap()));
  }

  /**
   * Returns the orders that bring the pool to its target size.
   *
   * @param listings the pool's upstreams, including draining ones
   * @param load load of the pool
   * @param domains failure domains that may contain upstreams
   */
  public List<FleetPlan> plan(
      Collection<UpstreamListing> listings, PoolLoad load, Collection<DomainId> domains, long now) {
    Map<Kind, Integer> present = new HashMap<>();
    for (UpstreamListing listing : listings) {
      if (!listing.draining()) {
        present.merge(new Kind(listing.domain(), listing.cheap()), 1, Integer::sum);
      }
    }
    hasLoad |= load.requestRate() > 0;
    if (!hasLoad && !isSettled(listings.size(), now)) {
      return List.of();
    }
    if (lastOrders.isEmpty()) {
      // The load is unknown before the first order: assume that existing upstreams are needed.
      int serving = present.values().stream().mapToInt(n -> n).sum();
      boolean hasCheap = present.keySet().stream().anyMatch(Kind::cheap);
      need = Math.max(need, (hasCheap ? serving - domains.size() : serving) / HEADROOM);
      startedAt = now;
    }
    observe(load);
    int total =
        Math.max(
            (int) Math.ceil(need * HEADROOM) + domains.size(), MIN_PER_DOMAIN * domains.size());
    return orders(target(total, domains, present, now), present, now);
  }

  /**
   * Returns whether the list has stopped changing; at system start, upstreams are listed one by
   * one.
   */
  private boolean isSettled(int listed, long now) {
    if (listed != lastListCount) {
      lastListCount = listed;
      listUnchangedSince = now;
    }
    return listed > 0 && now - listUnchangedSince >= SETTLE_NANOS;
  }

  private void observe(PoolLoad load) {
    double currentNeed =
        Math.max(
            load.promptRate() / PROMPT_TOKENS_PER_SECOND,
            (load.inFlight() + load.waiting()) / CONCURRENT_REQUESTS);
    if (currentNeed > need) {
      need += (currentNeed - need) * RISE_WEIGHT;
    } else if (load.requestRate() > 0) {
      need += (currentNeed - need) * FALL_WEIGHT;
    }
  }

  /**
   * Returns the target counts: cheap upstreams spread over the domains, and the regular ones that
   * the load needs in addition.
   */
  private Map<Kind, Integer> target(
      int total, Collection<DomainId> domains, Map<Kind, Integer> present, long now) {
    List<DomainId> order = new ArrayList<>(new TreeSet<>(domains));
    order.sort(Comparator.comparingDouble(spec::price).thenComparing(d -> d));
    Map<Kind, Integer> target = new HashMap<>();
    int remaining = total;
    List<DomainId> offering = new ArrayList<>();
    for (DomainId domain : order) {
      Kind cheap = new Kind(domain, true);
      target.put(new Kind(domain, false), 0);
      target.put(cheap, 0);
      if (isRefused(cheap, now)) {
        // No more are available, but those that serve stay.
        int serving = present.getOrDefault(cheap, 0);
        target.put(cheap, serving);
        remaining -= serving;
      } else if (spec.cheapPriceRatio() > 0) {
        offering.add(domain);
      }
    }
    int regular = Math.min(regular(total, order.size()), Math.max(0, remaining));
    remaining -= regular - spread(regular, order, false, target);
    remaining = spread(remaining, offering, true, target);
    int missing = (int) Math.ceil(need) - (total - remaining);
    spread(Math.min(remaining, missing), order, false, target);
    order.forEach(domain -> addMinimum(domain, target));
    return target;
  }

  /**
   * Returns the number of regular upstreams that covers the load if one domain loses its cheap
   * ones.
   */
  private int regular(int total, int domains) {
    double guaranteed = need * REGULAR_SHARE;
    double withoutDomain = domains * need - (domains - 1) * total;
    return (int) Math.ceil(Math.max(guaranteed, withoutDomain));
  }

  /** Adds regular upstreams up to the platform's minimum for both kinds together in a domain. */
  private void addMinimum(DomainId domain, Map<Kind, Integer> target) {
    int existing = target.get(new Kind(domain, false)) + target.get(new Kind(domain, true));
    int missing = Math.min(spec.minimum(), spec.maximum()) - existing;
    target.merge(new Kind(domain, false), Math.max(0, missing), Integer::sum);
  }

  /** Spreads upstreams over domains and returns how many exceed the maximum. */
  private int spread(int count, List<DomainId> order, boolean cheap, Map<Kind, Integer> target) {
    int remaining = count;
    for (int i = 0; i < order.size(); i++) {
      DomainId domain = order.get(i);
      int existing = target.get(new Kind(domain, false)) + target.get(new Kind(domain, true));
      int evenShare = (Math.max(0, remaining) + order.size() - i - 1) / (order.size() - i);
      int added = Math.max(0, Math.min(evenShare, spec.maximum() - existing));
      target.merge(new Kind(domain, cheap), added, Integer::sum);
      remaining -= added;
    }
    return remaining;
  }

  private boolean isRefused(Kind kind, long now) {
    Long lastRefusedAt = refusedAt.get(kind);
    return lastRefusedAt != null && now - lastRefusedAt < REFUSED_BACKOFF_NANOS;
  }

  private List<FleetPlan> orders(Map<Kind, Integer> target, Map<Kind, Integer> present, long now) {
    List<FleetPlan> plans = new ArrayList<>();
    target.forEach(
        (kind, count) -> {
          int serving = present.getOrDefault(kind, 0);
          Order lastOrder = lastOrders.get(kind);
          int orderedCount = lastOrder == null ? serving : lastOrder.count();
          boolean stale =
              lastOrder != null
                  && serving != lastOrder.count()
                  && now - lastOrder.atNanos() > INEFFECTIVE_REPEAT_NANOS;
          boolean shrinks = count < orderedCount;
          long lastOrderedAt = lastOrder == null ? startedAt : lastOrder.atNanos();
          boolean isRecent = now - lastOrderedAt < SHRINK_INTERVAL_NANOS;
          boolean postponed =
              shrinks && (kind.cheap() ? isRecent : isCheapMissing(target, present, need));
          boolean repeat =
              unknownOutcomes.contains(kind) && now - lastOrderedAt >= UNKNOWN_OUTCOME_REPEAT_NANOS;
          if (isRefused(kind, now) || (postponed && !repeat)) {
            return;
          }
          int newCount = postponed ? orderedCount : count;
          if (newCount != orderedCount || stale || repeat) {
            unknownOutcomes.remove(kind);
            lastOrders.put(kind, new Order(newCount, now));
            plans.add(new FleetPlan(kind.domain(), kind.cheap(), newCount));
          }
        });
    return plans;
  }

  /** Returns whether too few cheap upstreams serve yet to stop the surplus regular ones. */
  private static boolean isCheapMissing(
      Map<Kind, Integer> target, Map<Kind, Integer> present, double need) {
    int remainingCount = 0;
    for (Map.Entry<Kind, Integer> entry : target.entrySet()) {
      int serving = present.getOrDefault(entry.getKey(), 0);
      remainingCount += entry.getKey().cheap() ? serving : Math.min(serving, entry.getValue());
    }
    return remainingCount < need;
  }
}
