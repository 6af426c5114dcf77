package io.jacinthquay.decision.capacity;

import io.jacinthquay.decision.capacity.MarketSplit.Limit;
import java.util.Objects;

/**
 * Decides how many upstreams of each kind a pool needs.
 *
 * <pre>{@code
 * MarketSplit split = new SplitPlanner(CapacityOptions.DEFAULT).split(needs);
 * }</pre>
 *
 * <p>Cheap upstreams are as many as the pool can lose: after all cheap ones of any one failure
 * domain vanish, the rest still bears the two highest tiers; after all cheap ones vanish, the
 * regular ones still bear the highest tier.
 */
public final class SplitPlanner {
  private final CapacityOptions options;

  /** Returns a planner. */
  public SplitPlanner(CapacityOptions options) {
    this.options = Objects.requireNonNull(options, "options");
  }

  /** Returns the number of upstreams of each kind. */
  public MarketSplit split(PoolNeeds needs) {
    if (needs.domains().isEmpty()) {
      return new MarketSplit(0, 0, Limit.NO_DOMAIN);
    }
    int wanted = upstreams(needs.forecast().all(), needs, options.utilisation());
    Limit limit = Limit.DEMAND;
    if (wanted < needs.policy().minUpstreams()) {
      wanted = needs.policy().minUpstreams();
      limit = Limit.MIN_UPSTREAMS;
    }
    if (wanted > needs.policy().maxUpstreams()) {
      wanted = needs.policy().maxUpstreams();
      limit = Limit.MAX_UPSTREAMS;
    }
    return withinCost(needs, divide(needs, wanted, limit));
  }

  private MarketSplit divide(PoolNeeds needs, int wanted, Limit limit) {
    if (!needs.policy().cheapAllowed() || needs.cheapPrice() >= needs.regularPrice()) {
      return new MarketSplit(wanted, 0, limit);
    }
    int top = upstreams(needs.forecast().top(), needs, options.strainedUtilisation());
    int highest = upstreams(needs.forecast().highest(), needs, options.strainedUtilisation());
    int domains = needs.domains().size();
    int losablePerDomain = Math.max(0, wanted - top);
    int cheap = Math.min(losablePerDomain * domains, wanted - Math.min(highest, wanted));
    return new MarketSplit(wanted - cheap, cheap, limit);
  }

  private int upstreams(double demand, PoolNeeds needs, double utilisation) {
    return (int) Math.ceil(demand / (needs.slots() * utilisation));
  }

  /** Takes away regular upstreams, then cheap ones, until the cost limit holds. */
  private static MarketSplit withinCost(PoolNeeds needs, MarketSplit split) {
    double limit = needs.policy().costLimitPerHour();
    if (limit <= 0 || cost(needs, split.regular(), split.cheap()) <= limit) {
      return split;
    }
    int regular = split.regular();
    int cheap = split.cheap();
    while (regular + cheap > 0 && cost(needs, regular, cheap) > limit) {
      if (cheap > regular) {
        cheap--;
      } else {
        regular--;
      }
    }
    return new MarketSplit(regular, cheap, Limit.COST_LIMIT);
  }

  private static double cost(PoolNeeds needs, int regular, int cheap) {
    return regular * needs.regularPrice() + cheap * needs.cheapPrice();
  }
}
