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
 * List<CapacityAction> actions = planner.plan(needs, upstreams);
 * }</pre>
 *
 * <p>Starts are spread over the failure domains. Stops wait until the surplus has lasted, are
 * drained first and take from the failure domain that has most. Used by one thread at a time.
 */
public final class PoolPlanner {
  private final CapacityOptions options;
  private final SplitPlanner splitter;
  private final Map<Market, Integer> surplusSteps = new HashMap<>();
  private MarketSplit latest = new MarketSplit(0, 0, MarketSplit.Limit.DEMAND);

  /** Returns a planner. */
  public PoolPlanner(CapacityOptions options) {
    this.options = Objects.requireNonNull(options, "options");
    this.splitter = new SplitPlanner(options);
  }

  /** Returns what the latest call to {@link #plan} wanted. */
  public MarketSplit latest() {
    return latest;
  }

  /**
   * Returns the steps to take now.
   *
   * @param needs what the pool needs
   * @param upstreams the pool's upstreams in all failure domains, those that start included
   */
  public List<CapacityAction> plan(PoolNeeds needs, List<PoolUpstream> upstreams) {
    latest = splitter.split(needs);
    List<CapacityAction> actions = new ArrayList<>();
    drainOutside(needs, upstreams, actions);
    List<PoolUpstream> counted = inside(needs, upstreams);
    adjust(needs, counted, Market.REGULAR, latest.regular(), actions);
    adjust(needs, counted, Market.CHEAP, latest.cheap(), actions);
    stopDrained(upstreams, actions);
    return actions;
  }

  private static List<PoolUpstream> inside(PoolNeeds needs, List<PoolUpstream> upstreams) {
    return upstreams.stream()
        .filter(upstream -> upstream.counts() && needs.domains().contains(upstream.domain()))
        .toList();
  }

  /** Drains upstreams of failure domains that are out, once others can take their work. */
  private static void drainOutside(
      PoolNeeds needs, List<PoolUpstream> upstreams, List<CapacityAction> actions) {
    upstreams.stream()
        .filter(upstream -> upstream.phase() == Phase.SERVING && upstream.running() == 0)
        .filter(upstream -> !needs.domains().contains(upstream.domain()))
        .forEach(upstream -> actions.add(new CapacityAction.Drain(upstream.id())));
  }

  private static void stopDrained(List<PoolUpstream> upstreams, List<CapacityAction> actions) {
    upstreams.stream()
        .filter(upstream -> upstream.phase() == Phase.DRAINING && upstream.running() == 0)
        .forEach(
            upstream -> actions.add(new CapacityAction.Stop(upstream.id(), upstream.domain())));
  }

  private void adjust(
      PoolNeeds needs,
      List<PoolUpstream> counted,
      Market market,
      int wanted,
      List<CapacityAction> actions) {
    List<PoolUpstream> have = counted.stream().filter(u -> u.market() == market).toList();
    int surplus = have.size() - wanted;
    int slack = (int) Math.ceil(wanted * options.surplusSlack());
    if (surplus <= slack) {
      surplusSteps.put(market, 0);
    }
    if (surplus < 0) {
      start(needs, have, market, -surplus, actions);
    } else if (surplus > slack && holdIsOver(market) && coversDemand(counted, latest)) {
      drainOne(have, actions);
    }
  }

  /** Returns whether regular and cheap upstreams together are at least as many as wanted. */
  private static boolean coversDemand(List<PoolUpstream> counted, MarketSplit wanted) {
    long serving = counted.stream().filter(u -> u.phase() == Phase.SERVING).count();
    return serving > wanted.total();
  }

  private boolean holdIsOver(Market market) {
    return surplusSteps.merge(market, 1, Integer::sum) > options.holdSteps();
  }

  private static void start(
      PoolNeeds needs,
      List<PoolUpstream> have,
      Market market,
      int count,
      List<CapacityAction> actions) {
    Map<DomainId, Integer> perDomain = countByDomain(needs.domains(), have);
    for (int i = 0; i < count; i++) {
      DomainId fewest =
          needs.domains().stream().min(Comparator.comparingInt(perDomain::get)).orElseThrow();
      perDomain.merge(fewest, 1, Integer::sum);
      actions.add(new CapacityAction.Start(fewest, market));
    }
  }

  private static Map<DomainId, Integer> countByDomain(
      List<DomainId> domains, List<PoolUpstream> have) {
    Map<DomainId, Integer> perDomain = new HashMap<>();
    domains.forEach(domain -> perDomain.put(domain, 0));
    have.forEach(upstream -> perDomain.merge(upstream.domain(), 1, Integer::sum));
    return perDomain;
  }

  private static void drainOne(List<PoolUpstream> have, List<CapacityAction> actions) {
    Map<DomainId, Integer> perDomain = countByDomain(List.of(), have);
    Optional<PoolUpstream> victim =
        have.stream()
            .filter(upstream -> upstream.phase() == Phase.SERVING)
            .min(
                Comparator.<PoolUpstream>comparingInt(u -> -perDomain.get(u.domain()))
                    .thenComparingInt(PoolUpstream::running)
                    .thenComparing(PoolUpstream::id));
    victim.ifPresent(upstream -> actions.add(new CapacityAction.Drain(upstream.id())));
  }
}
