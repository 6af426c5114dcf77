package io.jacinthquay.decision.dispatch;

import io.jacinthquay.decision.learning.UpstreamRates;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Selects the upstream of a request among those of all failure domains by learned rates.
 *
 * <p>Answers domains of different speed and demand that moves between them: many routers act on
 * load data that is some hundred milliseconds old, so each compares only a few upstreams, drawn in
 * proportion to rate and free capacity. A fast domain gets its share from all routers, and no
 * upstream is the first choice of all of them.
 */
final class LearnedChoice {
  /** Upstreams drawn from those that suit; more make routers choose alike where few suit. */
  private static final int SAMPLE_COUNT = 2;

  /** Holders of the request's shared prefix drawn in addition to its home. */
  private static final int HOLDER_COUNT = 1;

  /** Upstreams compared if none of the sample has capacity. */
  private static final int FALLBACK_COUNT = 2;

  /** Smallest factor on the weight of an upstream; it must be tried to be seen to recover. */
  private static final double MIN_FACTOR = 0.05;

  private final CurrentRates rates;
  private final CandidateSampler sampler;

  LearnedChoice(CurrentRates rates, CandidateSampler sampler) {
    this.rates = rates;
    this.sampler = sampler;
  }

  /**
   * Returns an upstream of low cost, or empty if none has capacity.
   *
   * @param open upstreams that may get the request
   * @param suits returns whether the request suits an upstream: chats one on which they don't
   *     pause, long prompts one that isn't reserved for chats
   * @param starting returns whether an upstream is in slow start; any request may use its few
   *     places, or it would be drawn too rarely to prove itself
   */
  Optional<UpstreamState> choose(
      PoolRequest work,
      List<UpstreamState> open,
      SharedPrefix prefix,
      Predicate<UpstreamState> suits,
      Predicate<UpstreamState> starting,
      ToDoubleFunction<UpstreamState> cost) {
    ToDoubleFunction<UpstreamState> weight = state -> weight(work, state);
    List<UpstreamState> suitable = new ArrayList<>();
    List<UpstreamState> holders = new ArrayList<>();
    List<UpstreamState> always = new ArrayList<>();
    for (UpstreamState state : open) {
      if (suits.test(state)) {
        suitable.add(state);
      }
      if (starting.test(state)) {
        always.add(state);
      } else if (prefix.reducesPrefill(work, state)) {
        (prefix.isHome(state) ? always : holders).add(state);
      }
    }
    List<UpstreamState> compared = sampler.sample(suitable, SAMPLE_COUNT, weight);
    compared.addAll(always);
    compared.addAll(sampler.sample(holders, HOLDER_COUNT, weight));
    return PlacementRule.cheapest(compared, cost)
        .or(() -> fallback(suitable, weight, cost))
        .or(() -> fallback(open, weight, cost));
  }

  /** Compares only two of those with capacity, or all routers would choose the same one. */
  private Optional<UpstreamState> fallback(
      List<UpstreamState> open,
      ToDoubleFunction<UpstreamState> weight,
      ToDoubleFunction<UpstreamState> cost) {
    List<UpstreamState> available =
        open.stream().filter(s -> cost.applyAsDouble(s) < PlacementRule.UNAVAILABLE).toList();
    return PlacementRule.cheapest(sampler.sample(available, FALLBACK_COUNT, weight), cost);
  }

  private double weight(PoolRequest work, UpstreamState state) {
    UpstreamListing listing = state.listing();
    UpstreamRates current = rates.get();
    double speed =
        work.promptTokens() > 0
            ? current.promptTokensPerMilli(listing)
            : 1 / current.millisPerToken(listing);
    double free = 1 - (double) state.load().inFlight() / listing.slots();
    double reliable = 1 - current.excessMisses(listing);
    return speed * Math.max(MIN_FACTOR, free) * Math.max(MIN_FACTOR, reliable);
  }
}
