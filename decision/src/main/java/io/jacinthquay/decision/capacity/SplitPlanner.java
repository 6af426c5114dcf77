package io.jacinthquay.decision.capacity;

import io.jacinthquay.decision.capacity.MarketSplit.Limit;
import java.util.Objects;

/**
 * Plans the number of regular and cheap upstreams of a pool.
 *
 * <pre>{@code
 * MarketSplit split = new SplitPlanner(CapacityOptions.DEFAULT).split(input);
 * }</pre>
 *
 * <p>There are as many cheap upstreams as the pool can afford to lose: after the loss of all cheap
 * ones of any one failure domain, the others can still serve the two highest tiers; after the loss
 * of all cheap ones, the regular ones can still serve the highest tier.
 */
public final class SplitPlanner {
  private final CapacityOptions options;

  /** Creates a planner. */
  public SplitPlanner(CapacityOptions options) {
    this.options = Objects.requireNonNull(options, "options");
  }

  /** Returns the number of upstreams on each market. */
  public MarketSplit split(PlanInput input) {
    if (input.domains().isEmpty()) {
      return new MarketSplit(0, 0, Limit.NO_DOMAIN);
    }
    int planned = upstreamCount(input.forecast().all(), input, options.utilisation());
    Limit limit = Limit.DEMAND;
    if (planned < input.policy().minUpstreams()) {
      planned = input.policy().minUpstreams();
      limit = Limit.MIN_UPSTREAMS;
    }
    if (planned > input.policy().maxUpstreams()) {
      planned = input.policy().maxUpstreams();
      limit = Limit.MAX_UPSTREAMS;
    }
    return limitCost(input, splitByMarket(input, planned, limit));
  }

  private MarketSplit splitByMarket(PlanInput input, int planned, Limit limit) {
    if (!input.policy().cheapAllowed() || input.cheapPrice() >= input.regularPrice()) {
      return new MarketSplit(planned, 0, limit);
    }
    int topTwo = upstreamCount(input.forecast().topTwo(), input, options.degradedUtilisation());
    int highest = upstreamCount(input.forecast().highest(), input, options.degradedUtilisation());
    int domains = input.domains().size();
    int maxLossPerDomain = Math.max(0, planned - topTwo);
    int cheap = Math.min(maxLossPerDomain * domains, planned - Math.min(highest, planned));
    return new MarketSplit(planned - cheap, cheap, limit);
  }

  private int upstreamCount(double demand, PlanInput input, double utilisation) {
    return (int) Math.ceil(demand / (input.slots() * utilisation));
  }

  /**
   * Removes upstreams until the cost limit is met: cheap ones while they are the majority,
   * otherwise regular ones.
   */
  private static MarketSplit limitCost(PlanInput input, MarketSplit split) {
    double limit = input.policy().costLimitPerHour();
    if (limit <= 0 || cost(input, split.regular(), split.cheap()) <= limit) {
      return split;
    }
    int regular = split.regular();
    int cheap = split.cheap();
    while (regular + cheap > 0 && cost(input, regular, cheap) > limit) {
      if (cheap > regular) {
        cheap--;
      } else {
        regular--;
      }
    }
    return new MarketSplit(regular, cheap, Limit.COST_LIMIT);
  }

  private static double cost(PlanInput input, int regular, int cheap) {
    return regular * input.regularPrice() + cheap * input.cheapPrice();
  }
}
