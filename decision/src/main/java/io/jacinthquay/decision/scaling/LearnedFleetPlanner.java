package io.jacinthquay.decision.scaling;

import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.model.routing.ScalingSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Plans a pool of engines for the crest of its demand, by learned rates and by what callers get.
 *
 * <p>Answers waves with a period of 11 to 17 s, bursts of seconds, engines that differ by failure
 * domain, and cheap engines that are reclaimed for a whole domain. The pool grows at once; it
 * shrinks in steps, and not before demand and rates are known, so a new leader keeps what it finds.
 * Compared with {@link FleetPlanner}, which counts the same fixed capacity for every engine. Not
 * thread-safe.
 */
public final class LearnedFleetPlanner implements PoolSizer {
  /**
   * Share of its prompt rate that an engine is used for at the crest without headroom; beyond it,
   * prompts follow each other so closely that streams pause for longer than chats allow.
   */
  static final double UTILIZATION = 0.6;

  /** The same for the seconds after a loss, until ordered engines serve. */
  private static final double LOSS_UTILIZATION = 0.85;

  /** Share of the demand that must be served after the loss of a whole failure domain. */
  private static final double URGENT_SHARE = 0.5;

  /** Share of the demand that engines carry which can't be reclaimed. */
  private static final double REGULAR_SHARE = 0.1;

  /** Time in which requests that wait at routers should be sent, in milliseconds. */
  private static final double DRAIN_MILLIS = 1_500;

  /** Part of the goals that may be missing before engines are ordered. */
  private static final double TOLERATED_SHORTFALL = 0.04;

  /** Part of the goals whose lack is a burst or a loss, answered without delay. */
  private static final double URGENT_SHORTFALL = 0.15;

  /** Capacity beyond the goals that is kept, so that small changes order nothing. */
  private static final double SHRINK_MARGIN = 1.08;

  /** Most of a kind of engines that is stopped at once; each takes a warm cache along. */
  private static final double MAX_SHRINK_SHARE = 0.6;

  /** Price relative to the cheapest mix above which engines are replaced. */
  private static final double MAX_PRICE_RATIO = 1.15;

  /** Time between two orders that grow the pool, in nanoseconds. */
  private static final long GROW_INTERVAL_NANOS = 3_000_000_000L;

  /** The same in a burst or after a loss, in nanoseconds. */
  private static final long URGENT_INTERVAL_NANOS = 1_000_000_000L;

  /** Time between an order and the next one that shrinks the pool, in nanoseconds. */
  private static final long SHRINK_INTERVAL_NANOS = 4_000_000_000L;

  /** Time between two replacements of engines by cheaper ones, in nanoseconds. */
  private static final long REPLACE_INTERVAL_NANOS = 10_000_000_000L;

  /**
   * Time from the first plan for which nothing is stopped, in nanoseconds; until then not all
   * routers have reported twice, so the demand is not known.
   */
  private static final long HOLD_NANOS = 4_000_000_000L;

  /**
   * Time from the first plan after which the crest of the demand counts as seen, in nanoseconds;
   * from the trough to the crest of a wave of 17 s, and until the crest fills its share of the
   * window.
   */
  private static final long UNCERTAIN_NANOS = 13_000_000_000L;

  /**
   * Crest of a demand relative to its lowest value; 3.4 in a wave of 55 %. Falls to 1 within the
   * uncertain time.
   */
  private static final double UNSEEN_CREST = 3.5;

  /** Least part of the price that a shrinking order saves, so that it is worth its call. */
  private static final double MIN_SAVED_SHARE = 0.04;

  /** Time before a refused kind of engine is ordered again, in nanoseconds. */
  private static final long REFUSED_BACKOFF_NANOS = 8_000_000_000L;

  /** Time after which an order with unknown outcome counts as lost, in nanoseconds. */
  private static final long UNKNOWN_OUTCOME_NANOS = 4_000_000_000L;

  /** Time beyond its boot after which an engine that isn't listed counts as lost, in seconds. */
  private static final double BOOT_MARGIN_SECONDS = 3;

  /** Longest time between two plans that counts, in seconds; a VM that was paused saw nothing. */
  private static final double MAX_STEP_SECONDS = 1;

  private record Order(int count, boolean grows, long atNanos, long effectiveWithinNanos) {}

  private final ScalingSpec spec;
  private final FleetPlanner beforeTraffic;
  private final EngineCapacity capacity = new EngineCapacity();
  private final DemandCrest crest = new DemandCrest();
  private final Headroom headroom = new Headroom();
  private final Map<EngineKind, Order> openOrders = new HashMap<>();
  private final Map<EngineKind, Long> refusedAt = new HashMap<>();
  private SizingStatus status = new SizingStatus(0, 0, 0);
  private boolean started;
  private long startedAt;
  private long plannedAt;
  private long grownAt;
  private long changedAt;
  private long replacedAt;

  /** Returns a planner for one pool. */
  public LearnedFleetPlanner(ScalingSpec spec) {
    this.spec = spec;
    this.beforeTraffic = new FleetPlanner(spec);
  }

  @Override
  public SizingStatus status() {
    return status;
  }

  @Override
  public void refused(FleetPlan plan, long now) {
    beforeTraffic.refused(plan, now);
    EngineKind kind = new EngineKind(plan.domain(), plan.cheap());
    refusedAt.put(kind, now);
    openOrders.remove(kind);
    // What was refused is made up for in other domains at the next plan.
    grownAt = now - GROW_INTERVAL_NANOS;
  }

  @Override
  public void recordUnknownOutcome(FleetPlan plan) {
    beforeTraffic.recordUnknownOutcome(plan);
    openOrders.computeIfPresent(
        new EngineKind(plan.domain(), plan.cheap()),
        (kind, order) ->
            new Order(order.count(), order.grows(), order.atNanos(), UNKNOWN_OUTCOME_NANOS));
  }

  @Override
  public List<FleetPlan> plan(FleetObservation observation, long now) {
    ServiceQuality service = observation.service();
    if (service.routers() == 0 || observation.load().requestRate() <= 0) {
      // Before the first request nothing is known but the engines that are there. Cheaper ones
      // replace most of them, as many, so that they serve when traffic begins.
      return started ? List.of() : beforeTraffic.plan(observation, now);
    }
    if (!started) {
      started = true;
      startedAt = now;
      plannedAt = now;
      changedAt = now;
      grownAt = now - GROW_INTERVAL_NANOS;
      replacedAt = now - REPLACE_INTERVAL_NANOS;
    }
    double seconds = Math.min(MAX_STEP_SECONDS, (now - plannedAt) / 1e9);
    plannedAt = now;
    capacity.observe(observation.engines(), observation.listings(), seconds);
    EngineMix mix = new EngineMix(spec, observation.domains(), capacity::rate);
    Map<EngineKind, Integer> serving = serving(observation);
    closeOrders(serving, now);
    observe(observation, mix, serving, seconds, now);
    return orders(mix, serving, now);
  }

  private static Map<EngineKind, Integer> serving(FleetObservation observation) {
    Map<EngineKind, Integer> serving = new HashMap<>();
    for (UpstreamListing listing : observation.listings()) {
      if (!listing.draining() && observation.domains().contains(listing.domain())) {
        serving.merge(new EngineKind(listing.domain(), listing.cheap()), 1, Integer::sum);
      }
    }
    return serving;
  }

  /** Forgets the orders that the list shows, and those that had no effect in time. */
  private void closeOrders(Map<EngineKind, Integer> serving, long now) {
    openOrders
        .entrySet()
        .removeIf(
            entry -> {
              Order order = entry.getValue();
              return serving.getOrDefault(entry.getKey(), 0) == order.count()
                  || now - order.atNanos() > order.effectiveWithinNanos();
            });
  }

  private void observe(
      FleetObservation observation,
      EngineMix mix,
      Map<EngineKind, Integer> serving,
      double seconds,
      long now) {
    double presentRate = mix.rate(serving);
    int engines = serving.values().stream().mapToInt(n -> n).sum();
    PoolLoad load = observation.load();
    ServiceQuality service = observation.service();
    double byPrompts = load.promptRate() / 1_000 + service.waitingTokens() / DRAIN_MILLIS;
    double byRequests =
        (load.inFlight() + load.waiting())
            / capacity.requestsPerEngine()
            * (engines == 0 ? 0 : presentRate / engines * UTILIZATION);
    crest.record(Math.max(byPrompts, byRequests), service.routers(), now);
    double utilization = presentRate == 0 ? 1 : crest.current() / presentRate;
    boolean awaitsEngines = openOrders.values().stream().anyMatch(Order::grows);
    headroom.update(service, utilization, awaitsEngines, seconds);
    status = new SizingStatus(crest.crest(), headroom.factor(), service.missedShare());
  }

  /** Returns whether too little is known to stop engines. */
  private boolean isHeld(long now) {
    return !capacity.isLearned() || now - startedAt < HOLD_NANOS;
  }

  /** Returns how much higher than the crest seen so far the demand may become. */
  private double unseenCrest(long now) {
    double seen = Math.min(1, (double) (now - startedAt) / UNCERTAIN_NANOS);
    return 1 + (UNSEEN_CREST - 1) * (1 - seen);
  }

  private CapacityGoal goal() {
    double need = crest.crest();
    return new CapacityGoal(
        Math.max(need * headroom.factor(), crest.current()) / UTILIZATION,
        need / LOSS_UTILIZATION,
        need * URGENT_SHARE / LOSS_UTILIZATION,
        need * REGULAR_SHARE / LOSS_UTILIZATION);
  }

  private List<FleetPlan> orders(EngineMix mix, Map<EngineKind, Integer> serving, long now) {
    CapacityGoal goal = goal();
    Map<EngineKind, Integer> expected = new HashMap<>(serving);
    openOrders.forEach((kind, order) -> expected.put(kind, order.count()));
    double shortfall = mix.shortfall(expected, goal) / goal.total();
    if (shortfall > TOLERATED_SHORTFALL || !mix.hasMinimum(expected)) {
      long interval = shortfall > URGENT_SHORTFALL ? URGENT_INTERVAL_NANOS : GROW_INTERVAL_NANOS;
      return now - grownAt < interval
          ? List.of()
          : send(expected, mix.grow(expected, goal, kind -> !isRefused(kind, now)), now);
    }
    List<FleetPlan> replacements = replace(mix, expected, goal, now);
    return replacements.isEmpty() ? shrink(mix, serving, expected, goal, now) : replacements;
  }

  private boolean isRefused(EngineKind kind, long now) {
    Long lastRefusedAt = refusedAt.get(kind);
    return lastRefusedAt != null && now - lastRefusedAt < REFUSED_BACKOFF_NANOS;
  }

  /** Orders the engines of the cheapest mix in addition if those that are there cost more. */
  private List<FleetPlan> replace(
      EngineMix mix, Map<EngineKind, Integer> expected, CapacityGoal goal, long now) {
    if (!capacity.isLearned()
        || !openOrders.isEmpty()
        || now - replacedAt < REPLACE_INTERVAL_NANOS) {
      return List.of();
    }
    Map<EngineKind, Integer> kept = new HashMap<>();
    expected.forEach((kind, count) -> kept.put(kind, isRefused(kind, now) ? count : 0));
    Map<EngineKind, Integer> cheapest = mix.grow(kept, goal, kind -> !isRefused(kind, now));
    Map<EngineKind, Integer> needed = mix.shrink(expected, goal, kind -> true);
    if (mix.price(needed) <= mix.price(cheapest) * MAX_PRICE_RATIO) {
      return List.of();
    }
    Map<EngineKind, Integer> target = new HashMap<>(expected);
    for (EngineKind kind : mix.kinds()) {
      EngineKind other = new EngineKind(kind.domain(), !kind.cheap());
      int room = spec.maximum() - target.getOrDefault(other, 0);
      int count = Math.min(room, cheapest.getOrDefault(kind, 0));
      target.merge(kind, count, Math::max);
    }
    replacedAt = now;
    return send(expected, target, now);
  }

  private List<FleetPlan> shrink(
      EngineMix mix,
      Map<EngineKind, Integer> serving,
      Map<EngineKind, Integer> expected,
      CapacityGoal goal,
      long now) {
    if (isHeld(now) || now - changedAt < SHRINK_INTERVAL_NANOS) {
      return List.of();
    }
    Map<EngineKind, Integer> certain = new HashMap<>(serving);
    openOrders.forEach((kind, order) -> certain.merge(kind, order.count(), Math::min));
    Map<EngineKind, Integer> shrunk =
        mix.shrink(
            certain,
            goal.times(SHRINK_MARGIN * unseenCrest(now)),
            kind -> !openOrders.containsKey(kind));
    certain.forEach(
        (kind, count) ->
            shrunk.merge(kind, count - (int) Math.ceil(count * MAX_SHRINK_SHARE), Math::max));
    if (mix.price(shrunk) > mix.price(certain) * (1 - MIN_SAVED_SHARE)) {
      return List.of();
    }
    openOrders.forEach((kind, order) -> shrunk.put(kind, order.count()));
    return send(expected, shrunk, now);
  }

  private List<FleetPlan> send(
      Map<EngineKind, Integer> expected, Map<EngineKind, Integer> target, long now) {
    List<FleetPlan> plans = new ArrayList<>();
    target.forEach(
        (kind, count) -> {
          int before = expected.getOrDefault(kind, 0);
          if (count != before) {
            boolean grows = count > before;
            long bootNanos = (long) ((spec.bootSeconds() + BOOT_MARGIN_SECONDS) * 1e9);
            openOrders.put(kind, new Order(count, grows, now, bootNanos));
            plans.add(new FleetPlan(kind.domain(), kind.cheap(), count));
            changedAt = now;
            grownAt = grows ? now : grownAt;
          }
        });
    return plans;
  }
}
