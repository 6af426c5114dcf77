package io.jacinthquay.control.service;

import com.codahale.metrics.MetricRegistry;
import io.jacinthquay.control.port.Fleet;
import io.jacinthquay.control.port.LeaderLease;
import io.jacinthquay.control.port.UpstreamOrder;
import io.jacinthquay.decision.cluster.RouterSignals;
import io.jacinthquay.decision.cluster.UpstreamEvidence;
import io.jacinthquay.decision.cluster.WaitingWork;
import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.decision.dispatch.UpstreamLoad;
import io.jacinthquay.decision.learning.LearnedRates;
import io.jacinthquay.decision.scaling.EngineSpeeds;
import io.jacinthquay.decision.scaling.FleetObservation;
import io.jacinthquay.decision.scaling.FleetPlan;
import io.jacinthquay.decision.scaling.FleetPlanner;
import io.jacinthquay.decision.scaling.LearnedFleetPlanner;
import io.jacinthquay.decision.scaling.PoolLoad;
import io.jacinthquay.decision.scaling.PoolSizer;
import io.jacinthquay.decision.scaling.ServiceQuality;
import io.jacinthquay.decision.scaling.SizingStatus;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.routing.EngineSpec;
import io.jacinthquay.model.routing.PoolSpec;
import io.jacinthquay.model.routing.RouteRule;
import io.jacinthquay.model.routing.RoutingDocument;
import io.jacinthquay.model.routing.ScalingSpec;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Orders upstreams from the platform for every pool that can be scaled. */
public final class PoolScaler {
  private static final Logger log = LogManager.getLogger();

  /** Name that no router has, so that the load of all routers is summed. */
  private static final String NO_ROUTER = "";

  private final ControlStore store;
  private final RouterRegistry routers;
  private final SignalsTable signals;
  private final UpstreamListCache upstreamList;
  private final Fleet fleet;
  private final Function<byte[], Either<Failure, RoutingDocument>> decoder;
  private final boolean learnsRates;
  private final Map<PoolName, PoolSizer> planners = new HashMap<>();
  private final Map<PoolName, DemandRates> rates = new HashMap<>();
  private final Map<PoolName, SizingStatus> statuses = new ConcurrentHashMap<>();
  private volatile Optional<MetricRegistry> metrics = Optional.empty();
  private List<PoolSpec> pools = List.of();
  private List<RouteRule> routes = List.of();
  private long poolsVersion = Long.MIN_VALUE;
  private long plannersTerm = -1;

  /**
   * Returns a scaler.
   *
   * @param store holds the document in force
   * @param routers the reports of the routers
   * @param signals what routers that learn rates report
   * @param upstreamList the platform's list of upstreams
   * @param fleet the platform that takes the orders
   * @param decoder decodes the document
   * @param learnsRates whether engines are counted by the rates that routers observe
   */
  public PoolScaler(
      ControlStore store,
      RouterRegistry routers,
      SignalsTable signals,
      UpstreamListCache upstreamList,
      Fleet fleet,
      Function<byte[], Either<Failure, RoutingDocument>> decoder,
      boolean learnsRates) {
    this.store = store;
    this.routers = routers;
    this.signals = signals;
    this.upstreamList = upstreamList;
    this.fleet = fleet;
    this.decoder = decoder;
    this.learnsRates = learnsRates;
  }

  /** Registers the metrics of pools that are planned by learned rates, as soon as they are. */
  public void register(MetricRegistry registry) {
    metrics = Optional.of(registry);
  }

  /**
   * Sends the orders that are due.
   *
   * @param lease the right to call the platform
   * @param now monotonic time in nanoseconds
   */
  public void run(LeaderLease lease, long now) {
    UpstreamListCache.Snapshot snapshot = upstreamList.snapshot();
    if (snapshot.number() == 0 || !updatePools()) {
      return;
    }
    if (lease.fencingToken() != plannersTerm) {
      plannersTerm = lease.fencingToken();
      planners.clear();
    }
    Map<String, UpstreamLoad> loads = routers.loadsOfOthers(NO_ROUTER);
    for (PoolSpec pool : pools) {
      pool.scaling().ifPresent(spec -> run(lease, pool, spec, snapshot, loads, now));
    }
  }

  private boolean updatePools() {
    if (store.tables().version() == poolsVersion) {
      return true;
    }
    Optional<byte[]> document = store.tables().document();
    if (document.isEmpty()) {
      return false;
    }
    poolsVersion = store.tables().version();
    decoder
        .apply(document.get())
        .peek(
            decoded -> {
              pools = decoded.pools();
              routes = decoded.routes();
            })
        .peekLeft(failure -> log.error("cannot decode the stored document: {}", failure.detail()));
    return true;
  }

  private void run(
      LeaderLease lease,
      PoolSpec pool,
      ScalingSpec spec,
      UpstreamListCache.Snapshot snapshot,
      Map<String, UpstreamLoad> loads,
      long now) {
    List<UpstreamListing> listings =
        snapshot.listings().stream().filter(l -> l.pool().equals(pool.name())).toList();
    UpstreamLoad totalLoad = UpstreamLoad.NONE;
    for (UpstreamListing listing : listings) {
      totalLoad = totalLoad.plus(loads.getOrDefault(listing.upstream().value(), UpstreamLoad.NONE));
    }
    DemandRates poolRates = rates.computeIfAbsent(pool.name(), name -> new DemandRates());
    poolRates.record(pool.name().value(), routers.demand(), now);
    PoolLoad load = poolRates.load(totalLoad.inFlight(), totalLoad.promptTokens());
    PoolSizer planner = planners.computeIfAbsent(pool.name(), name -> newPlanner(pool, spec));
    RouterSignals all = signals.all();
    LearnedRates learned = new LearnedRates(listings, all.evidence());
    Set<DomainId> domains = candidateDomains(listings, spec);
    ServiceQuality service = poolRates.quality(waitingTokens(pool.name(), all));
    EngineSpeeds speeds = speeds(pool, listings, domains, all, learned);
    List<FleetPlan> plans =
        planner.plan(new FleetObservation(listings, domains, load, service, speeds), now);
    statuses.put(pool.name(), planner.status());
    for (FleetPlan plan : plans) {
      Either<Failure, Void> result =
          fleet.orderUpstreams(
              lease, new UpstreamOrder(pool.name(), plan.domain(), plan.cheap(), plan.count()));
      log.info(
          "order {} {} fence={} need={} load={} listAgeMillis={} tokensPerMilli={} sent={}",
          pool.name(),
          plan,
          lease.fencingToken(),
          planner.status().need(),
          load,
          (now - snapshot.polledNanos()) / 1_000_000,
          learned.promptTokensPerMilli(pool.name(), plan.domain()),
          result);
      result.peekLeft(failure -> recordFailure(failure, planner, plan, now));
    }
    if (learnsRates && !plans.isEmpty()) {
      log.info("orders of {} by {} {} {}", pool.name(), planner.status(), service, speeds);
    }
  }

  private PoolSizer newPlanner(PoolSpec pool, ScalingSpec spec) {
    // Plain services read no prompts, so no prompt rate can be learned of them.
    if (!learnsRates || pool.engine().isEmpty()) {
      return new FleetPlanner(spec);
    }
    metrics.ifPresent(registry -> register(registry, pool.name()));
    return new LearnedFleetPlanner(spec);
  }

  private void register(MetricRegistry registry, PoolName pool) {
    String label = "{pool=\"" + pool.value() + "\"}";
    registry.gauge("jq_control_need" + label, () -> () -> status(pool, SizingStatus::need));
    registry.gauge("jq_control_headroom" + label, () -> () -> status(pool, SizingStatus::headroom));
    registry.gauge(
        "jq_control_missed_share" + label, () -> () -> status(pool, SizingStatus::missedShare));
  }

  private double status(PoolName pool, ToDoubleFunction<SizingStatus> figure) {
    SizingStatus status = statuses.get(pool);
    return status == null ? 0 : figure.applyAsDouble(status);
  }

  private static long waitingTokens(PoolName pool, RouterSignals signals) {
    return signals.waiting().entrySet().stream()
        .filter(entry -> entry.getKey().pool().equals(pool))
        .map(Map.Entry::getValue)
        .mapToLong(WaitingWork::promptTokens)
        .sum();
  }

  private EngineSpeeds speeds(
      PoolSpec pool,
      List<UpstreamListing> listings,
      Set<DomainId> domains,
      RouterSignals signals,
      LearnedRates learned) {
    Map<DomainId, Double> promptRates = new HashMap<>();
    domains.forEach(
        domain -> promptRates.put(domain, learned.promptTokensPerMilli(pool.name(), domain)));
    double observedMillis =
        listings.stream()
            .map(listing -> signals.evidence().get(listing.upstream()))
            .filter(Objects::nonNull)
            .mapToDouble(UpstreamEvidence::readMillis)
            .sum();
    double millisPerToken =
        listings.stream().mapToDouble(learned::millisPerToken).average().orElse(0);
    return new EngineSpeeds(
        observedMillis, promptRates, millisPerToken, targetMillisPerToken(pool));
  }

  /** Returns the time per token at which the shortest pause target is reached; 0 for none. */
  private double targetMillisPerToken(PoolSpec pool) {
    int pauseMillis =
        routes.stream()
            .filter(route -> route.split().stream().anyMatch(p -> p.pool().equals(pool.name())))
            .mapToInt(RouteRule::gapTargetMillis)
            .filter(millis -> millis > 0)
            .min()
            .orElse(0);
    return (double) pauseMillis / pool.engine().map(EngineSpec::tokensPerEvent).orElse(1);
  }

  private static void recordFailure(Failure failure, PoolSizer planner, FleetPlan plan, long now) {
    if (failure.code() == ResultCode.UPSTREAM_REFUSED) {
      planner.refused(plan, now);
    } else {
      planner.recordUnknownOutcome(plan);
    }
  }

  private Set<DomainId> candidateDomains(List<UpstreamListing> listings, ScalingSpec spec) {
    Set<DomainId> domains = new HashSet<>(spec.prices().keySet());
    listings.forEach(listing -> domains.add(listing.domain()));
    store.tables().closedDomains().forEach(name -> domains.remove(new DomainId(name)));
    return domains;
  }
}
