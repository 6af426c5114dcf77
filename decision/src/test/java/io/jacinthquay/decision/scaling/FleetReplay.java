package io.jacinthquay.decision.scaling;

import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.SoftwareVersion;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.routing.ScalingSpec;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;
import java.util.function.Supplier;

/** Replays the demand on one pool against a planner, in steps of half a second. */
final class FleetReplay {
  static final DomainId A = new DomainId("a");
  static final DomainId B = new DomainId("b");
  static final DomainId C = new DomainId("c");

  /** Prompt rate of an engine beside running streams, in tokens per millisecond. */
  static final double RATE = 45;

  /** Prompt tokens of a request, on average. */
  private static final double REQUEST_TOKENS = 2_500;

  private static final int SLOTS = 24;
  private static final double BOOT_SECONDS = 4;
  private static final long HALF_SECOND = 500_000_000L;
  private static final Map<DomainId, Double> FACTORS = Map.of(A, 0.7, B, 0.7, C, 1.7);
  private static final ScalingSpec SPEC =
      new ScalingSpec(2, 60, BOOT_SECONDS, 0.35, Map.of(A, 0.8, B, 1.0, C, 1.25));

  private record Boot(EngineKind kind, int count, double atSeconds) {}

  private final Supplier<PoolSizer> planners;
  private final Random random = new Random(7);
  private final Map<EngineKind, Integer> serving = new HashMap<>();
  private final List<Boot> booting = new ArrayList<>();
  private PoolSizer planner;

  /** Prompt tokens per millisecond by time in seconds. */
  DoubleUnaryOperator demand = FleetReplay::wave;

  /** Speed of all engines relative to the usual one, by time in seconds. */
  DoubleUnaryOperator speed = seconds -> 1;

  /** Time that a request runs, in seconds. */
  double requestSeconds = 1.2;

  /** How much higher than their speed the learned rates are. */
  double overestimate = 1;

  /** Observation time behind the learned rates, in milliseconds. */
  double observedMillis = 5_000;

  /** Share of the routers that report, by time in seconds. */
  DoubleUnaryOperator reporting = seconds -> 1;

  /** Time at which the cheap engines of a domain are reclaimed and refused from then on. */
  double reclaimedAt = Double.MAX_VALUE;

  DomainId reclaimed = C;

  /** Time at which another leader takes over. */
  double leaderChangedAt = Double.MAX_VALUE;

  int orders;
  int refusals;
  double price;
  double overloadedSeconds;

  FleetReplay(Supplier<PoolSizer> planners) {
    this.planners = planners;
    this.planner = planners.get();
    for (DomainId domain : FACTORS.keySet()) {
      serving.put(new EngineKind(domain, false), 33);
    }
  }

  static FleetReplay learned() {
    return new FleetReplay(() -> new LearnedFleetPlanner(SPEC));
  }

  static FleetReplay fixed() {
    return new FleetReplay(() -> new FleetPlanner(SPEC));
  }

  /** A mean of 600 tokens per millisecond with a wave of 55 % and a period of 17 s. */
  static double wave(double seconds) {
    return 600 * (1 + 0.55 * Math.sin(2 * Math.PI * seconds / 17));
  }

  int count(DomainId domain) {
    return serving.getOrDefault(new EngineKind(domain, false), 0)
        + serving.getOrDefault(new EngineKind(domain, true), 0);
  }

  PoolSizer planner() {
    return planner;
  }

  int total() {
    return serving.values().stream().mapToInt(n -> n).sum();
  }

  /** Returns the prompt rate of all serving engines, in tokens per millisecond. */
  double rate(double seconds) {
    return serving.entrySet().stream()
        .mapToDouble(e -> e.getValue() * FACTORS.get(e.getKey().domain()))
        .map(sum -> sum * RATE * speed.applyAsDouble(seconds))
        .sum();
  }

  /** Returns the prompt rate of the serving engines of a domain, in tokens per millisecond. */
  double rate(DomainId domain) {
    return count(domain) * FACTORS.get(domain) * RATE;
  }

  /** Plays a span of time; the figures count from there. */
  FleetReplay play(double fromSeconds, double toSeconds) {
    orders = 0;
    price = 0;
    overloadedSeconds = 0;
    for (double seconds = fromSeconds; seconds < toSeconds; seconds += 0.5) {
      step(seconds);
    }
    return this;
  }

  private void step(double seconds) {
    boot(seconds);
    if (seconds == reclaimedAt) {
      serving.remove(new EngineKind(reclaimed, true));
    }
    if (seconds == leaderChangedAt) {
      planner = planners.get();
    }
    double wanted = demand.applyAsDouble(seconds);
    double use = wanted / rate(seconds);
    overloadedSeconds += use > 1 ? 0.5 : 0;
    serving.forEach(
        (kind, count) ->
            price += 0.5 * count * SPEC.price(kind.domain()) * (kind.cheap() ? 0.35 : 1));
    long now = (long) (seconds * 2) * HALF_SECOND;
    for (FleetPlan plan : planner.plan(observation(seconds, wanted, use), now)) {
      orders++;
      apply(plan, seconds, now);
    }
  }

  private void boot(double seconds) {
    booting.removeIf(
        boot -> {
          boolean ready = seconds >= boot.atSeconds();
          if (ready) {
            serving.merge(boot.kind(), boot.count(), Integer::sum);
          }
          return ready;
        });
  }

  private void apply(FleetPlan plan, double seconds, long now) {
    EngineKind kind = new EngineKind(plan.domain(), plan.cheap());
    int before = serving.getOrDefault(kind, 0);
    if (plan.count() > before
        && plan.cheap()
        && plan.domain().equals(reclaimed)
        && seconds >= reclaimedAt) {
      refusals++;
      planner.refused(plan, now);
      return;
    }
    booting.removeIf(boot -> boot.kind().equals(kind));
    if (plan.count() > before) {
      booting.add(new Boot(kind, plan.count() - before, seconds + BOOT_SECONDS));
    } else {
      serving.put(kind, plan.count());
    }
  }

  private FleetObservation observation(double seconds, double wanted, double use) {
    double part = reporting.applyAsDouble(seconds);
    double seen = wanted * part * (0.95 + 0.1 * random.nextDouble());
    double requests = seen * 1_000 / REQUEST_TOKENS;
    PoolLoad load = new PoolLoad((int) (requests * requestSeconds), 0, 0, seen * 1_000, requests);
    double missedShare = Math.min(1, 0.01 + 2 * Math.max(0, use - 0.7));
    ServiceQuality service =
        new ServiceQuality(
            (int) (70 * part), (long) (1.5 * requests), (long) (1.5 * requests * missedShare), 0);
    Map<DomainId, Double> rates = new HashMap<>();
    FACTORS.forEach(
        (domain, factor) ->
            rates.put(domain, RATE * factor * overestimate * speed.applyAsDouble(seconds)));
    return new FleetObservation(
        listings(),
        Set.of(A, B, C),
        load,
        service,
        new EngineSpeeds(observedMillis, rates, 12, 25));
  }

  private List<UpstreamListing> listings() {
    List<UpstreamListing> all = new ArrayList<>();
    serving.forEach(
        (kind, count) -> {
          for (int i = 0; i < count; i++) {
            all.add(
                new UpstreamListing(
                    new UpstreamId(kind.domain() + "-" + kind.cheap() + "-" + i),
                    new PoolName("engines"),
                    kind.domain(),
                    InetSocketAddress.createUnresolved("10.0.0.1", 80),
                    false,
                    kind.cheap(),
                    SLOTS,
                    0,
                    SoftwareVersion.UNSPECIFIED));
          }
        });
    return all;
  }

  @Override
  public String toString() {
    return "price %.0f, overloaded %.1f s, %d orders, engines %s"
        .formatted(price, overloadedSeconds, orders, serving);
  }
}
