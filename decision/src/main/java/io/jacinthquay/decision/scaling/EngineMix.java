package io.jacinthquay.decision.scaling;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.routing.ScalingSpec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;

/**
 * Chooses domains and markets of engines by price for what each adds to the goals.
 *
 * <p>Answers domains whose engines differ in speed and price, and cheap engines that are reclaimed
 * for a whole domain at once: a goal that is met without a domain's engines is met sooner by
 * engines elsewhere, so the engines spread over domains as far as the goals ask for it.
 */
final class EngineMix {
  /** Fewest engines per failure domain. */
  private static final int MIN_PER_DOMAIN = 2;

  /** Part of the total goal that may be missing, so that rounding orders no engine. */
  private static final double ROUNDING = 0.001;

  private final ScalingSpec spec;
  private final List<DomainId> domains;
  private final List<EngineKind> kinds = new ArrayList<>();
  private final ToDoubleFunction<DomainId> rate;

  /**
   * Returns a mix for one pool.
   *
   * @param domains failure domains that may contain engines
   * @param rate prompt rate of an engine in a domain, in tokens per millisecond
   */
  EngineMix(ScalingSpec spec, Collection<DomainId> domains, ToDoubleFunction<DomainId> rate) {
    this.spec = spec;
    this.domains = domains.stream().sorted().toList();
    this.rate = rate;
    for (DomainId domain : this.domains) {
      kinds.add(new EngineKind(domain, false));
      kinds.add(new EngineKind(domain, true));
    }
  }

  List<EngineKind> kinds() {
    return kinds;
  }

  /** Returns the price of one engine per second. */
  double price(EngineKind kind) {
    return spec.price(kind.domain()) * (kind.cheap() ? spec.cheapPriceRatio() : 1);
  }

  /** Returns the price of engines per second. */
  double price(Map<EngineKind, Integer> counts) {
    return kinds.stream().mapToDouble(kind -> counts.getOrDefault(kind, 0) * price(kind)).sum();
  }

  /** Returns the prompt rate of all engines together, in tokens per millisecond. */
  double rate(Map<EngineKind, Integer> counts) {
    return kinds.stream()
        .mapToDouble(kind -> counts.getOrDefault(kind, 0) * rate.applyAsDouble(kind.domain()))
        .sum();
  }

  /** Returns the sum of what is missing from the goals, in tokens per millisecond. */
  double shortfall(Map<EngineKind, Integer> counts, CapacityGoal goal) {
    double total = 0;
    double regular = 0;
    double mostCheap = 0;
    double mostInDomain = 0;
    for (DomainId domain : domains) {
      double speed = rate.applyAsDouble(domain);
      double cheapRate = speed * counts.getOrDefault(new EngineKind(domain, true), 0);
      double regularRate = speed * counts.getOrDefault(new EngineKind(domain, false), 0);
      total += cheapRate + regularRate;
      regular += regularRate;
      mostCheap = Math.max(mostCheap, cheapRate);
      mostInDomain = Math.max(mostInDomain, cheapRate + regularRate);
    }
    double afterDomainLoss = domains.size() < 2 ? 0 : goal.afterDomainLoss();
    return Math.max(0, goal.total() - total)
        + Math.max(0, goal.afterReclaim() - (total - mostCheap))
        + Math.max(0, afterDomainLoss - (total - mostInDomain))
        + Math.max(0, goal.regular() - regular);
  }

  private int engines(DomainId domain, Map<EngineKind, Integer> counts) {
    return counts.getOrDefault(new EngineKind(domain, false), 0)
        + counts.getOrDefault(new EngineKind(domain, true), 0);
  }

  /** Returns the least number of engines in a domain. */
  private int minimum() {
    return Math.min(spec.maximum(), Math.max(MIN_PER_DOMAIN, spec.minimum()));
  }

  /** Returns whether each domain has its least number of engines. */
  boolean hasMinimum(Map<EngineKind, Integer> counts) {
    return domains.stream().allMatch(domain -> engines(domain, counts) >= minimum());
  }

  /**
   * Returns the counts with the engines added that meet the goals at the lowest price, as far as
   * the maximum per domain and what the platform offers allow.
   */
  Map<EngineKind, Integer> grow(
      Map<EngineKind, Integer> counts, CapacityGoal goal, Predicate<EngineKind> offered) {
    Map<EngineKind, Integer> grown = new HashMap<>(counts);
    List<EngineKind> available =
        kinds.stream()
            .filter(kind -> !kind.cheap() || spec.cheapPriceRatio() > 0)
            .filter(offered)
            .sorted(Comparator.comparingDouble(this::price))
            .toList();
    for (DomainId domain : domains) {
      available.stream()
          .filter(kind -> kind.domain().equals(domain))
          .findFirst()
          .ifPresent(
              kind ->
                  grown.merge(kind, Math.max(0, minimum() - engines(domain, grown)), Integer::sum));
    }
    double missing = shortfall(grown, goal);
    while (missing > goal.total() * ROUNDING) {
      EngineKind best = null;
      double bestGain = 0;
      for (EngineKind kind : available) {
        if (engines(kind.domain(), grown) < spec.maximum()) {
          grown.merge(kind, 1, Integer::sum);
          double gain = (missing - shortfall(grown, goal)) / price(kind);
          grown.merge(kind, -1, Integer::sum);
          if (gain > bestGain) {
            bestGain = gain;
            best = kind;
          }
        }
      }
      if (best == null) {
        break;
      }
      grown.merge(best, 1, Integer::sum);
      missing = shortfall(grown, goal);
    }
    return grown;
  }

  /**
   * Returns the counts without the engines that the goals don't need, those with the highest price
   * for their rate first.
   *
   * @param removable whether engines of a kind may be removed
   */
  Map<EngineKind, Integer> shrink(
      Map<EngineKind, Integer> counts, CapacityGoal goal, Predicate<EngineKind> removable) {
    Map<EngineKind, Integer> shrunk = new HashMap<>(counts);
    List<EngineKind> dearestFirst =
        kinds.stream()
            .sorted(
                Comparator.comparingDouble(
                    kind -> -price(kind) / rate.applyAsDouble(kind.domain())))
            .toList();
    for (EngineKind kind : dearestFirst) {
      while (removable.test(kind) && isSpare(kind, shrunk, goal)) {
        shrunk.merge(kind, -1, Integer::sum);
      }
    }
    return shrunk;
  }

  /** Returns whether the goals are met without one of the engines of a kind. */
  private boolean isSpare(EngineKind kind, Map<EngineKind, Integer> counts, CapacityGoal goal) {
    if (counts.getOrDefault(kind, 0) == 0 || engines(kind.domain(), counts) <= minimum()) {
      return false;
    }
    counts.merge(kind, -1, Integer::sum);
    boolean spare = shortfall(counts, goal) <= goal.total() * ROUNDING;
    counts.merge(kind, 1, Integer::sum);
    return spare;
  }
}
