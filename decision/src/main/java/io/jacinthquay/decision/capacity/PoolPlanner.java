package io.jacinthquay.decision.capacity;

import io.jacinthquay.model.DomainId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Plans the upstreams of one pool, one sample interval at a time.
 *
 * <pre>{@code
 * List<CapacityAction> actions = planner.plan(input, upstreams);
 * }</pre>
 *
 * <p>Starts are spread over the failure domains. An upstream is stopped only after the surplus has
 * lasted for some intervals and after it was drained; it is taken from the failure domain with the
 * most upstreams. Not thread-safe.
 */
public final class PoolPlanner {
  private final CapacityOptions options;
  private final SplitPlanner splitter;
  private final Map<Market, Integer> surplusSteps = new HashMap<>();
  private MarketSplit latest = new MarketSplit(0, 0, MarketSplit.Limit.DEMAND);

  /** Creates a planner. */
  public PoolPlanner(CapacityOptions options) {
    this.options = Objects.requireNonNull(options, "options");
    this.splitter = new SplitPlanner(options);
  }

  /** Returns the split that the latest call to {@link #plan} computed. */
  public MarketSplit latest() {
    return latest;
  }

  /**
   * Returns the steps to take now.
   *
   * @param input the demand, limits and prices of the pool
   * @param upstreams the pool's upstreams in all failure domains, including those that are starting
   */
  public List<CapacityAction> plan(PlanInput input, List<PoolUpstream> upstreams) {
    latest = splitter.split(input);
    List<CapacityAction> actions = new ArrayList<>();
    drainExcludedDomains(input, upstreams, actions);
    List<PoolUpstream> counted = countedUpstreams(input, upstreams);
    adjust(input, counted, Market.REGULAR, latest.regular(), actions);
    adjust(input, counted, Market.CHEAP, latest.cheap(), actions);
    stopDrained(upstreams, actions);
    return actions;
  }

  private static List<PoolUpstream> countedUpstreams(
      PlanInput input, List<PoolUpstream> upstreams) {
    return upstreams.stream()
        .filter(
            upstream -> upstream.countsAsCapacity() && input.domains().contains(upstream.domain()))
        .toList();
  }

  /**
   * Drains upstreams of excluded failure domains once other domains have taken over their requests,
   * that is, once they run none.
   */
  private static void drainExcludedDomains(
      PlanInput input, List<PoolUpstream> upstreams, List<CapacityAction> actions) {
    upstreams.stream()
        .filter(upstream -> upstream.phase() == Phase.SERVING && upstream.running() == 0)
        .filter(upstream -> !input.domains().contains(upstream.domain()))
        .forEach(upstream -> actions.add(new CapacityAction.Drain(upstream.id())));
  }

  private static void stopDrained(List<PoolUpstream> upstreams, List<CapacityAction> actions) {
    upstreams.stream()
        .filter(upstream -> upstream.phase() == Phase.DRAINING && upstream.running() == 0)
        .forEach(
            upstream -> actions.add(new CapacityAction.Stop(upstream.id(), upstream.domain())));
  }

  private void adjust(
      PlanInput input,
      List<PoolUpstream> counted,
      Market market,
      int planned,
      List<CapacityAction> actions) {
    List<PoolUpstream> existing = counted.stream().filter(u -> u.market() == market).toList();
    int surplus = existing.size() - planned;
    int tolerance = (int) Math.ceil(planned * options.surplusTolerance());
    if (surplus <= tolerance) {
      surplusSteps.put(market, 0);
    }
    if (surplus < 0) {
      start(input, existing, market, -surplus, actions);
    } else if (surplus > tolerance
        && countSurplusStep(market)
        && hasServingSurplus(counted, latest)) {
      drainOne(existing, actions);
    }
  }

  /** Returns whether more upstreams serve requests than are planned on both markets together. */
  private static boolean hasServingSurplus(List<PoolUpstream> counted, MarketSplit planned) {
    long serving = counted.stream().filter(u -> u.phase() == Phase.SERVING).count();
    return serving > planned.total();
  }

  /** Counts a step with a surplus, and returns whether the surplus has lasted long enough. */
  private boolean countSurplusStep(Market market) {
    return surplusSteps.merge(market, 1, Integer::sum) > options.holdSteps();
  }

  private static void start(
      PlanInput input,
      List<PoolUpstream> existing,
      Market market,
      int count,
      List<CapacityAction> actions) {
    Map<DomainId, Integer> perDomain = countByDomain(input.domains(), existing);
    for (int i = 0; i < count; i++) {
      DomainId fewest =
          input.domains().stream().min(Comparator.comparingInt(perDomain::get)).orElseThrow();
      perDomain.merge(fewest, 1, Integer::sum);
      actions.add(new CapacityAction.Start(fewest, market));
    }
  }

  private static Map<DomainId, Integer> countByDomain(
      List<DomainId> domains, List<PoolUpstream> existing) {
    Map<DomainId, Integer> perDomain = new HashMap<>();
    domains.forEach(domain -> perDomain.put(domain, 0));
    existing.forEach(upstream -> perDomain.merge(upstream.domain(), 1, Integer::sum));
    return perDomain;
  }

  private static void drainOne(List<PoolUpstream> existing, List<CapacityAction> actions) {
    Map<DomainId, Integer> perDomain = countByDomain(List.of(), existing);
    Optional<PoolUpstream> chosen =
        existing.stream()
            .filter(upstream -> upstream.phase() == Phase.SERVING)
            .min(
                Comparator.<PoolUpstream>comparingInt(u -> -perDomain.get(u.domain()))
                    .thenComparingInt(PoolUpstream::running)
                    .thenComparing(PoolUpstream::id));
    chosen.ifPresent(upstream -> actions.add(new CapacityAction.Drain(upstream.id())));
  }
}
