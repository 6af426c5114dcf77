package io.jacinthquay.control.service;

import io.jacinthquay.control.port.Fleet;
import io.jacinthquay.control.port.LeaderLease;
import io.jacinthquay.control.port.UpstreamOrder;
import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.decision.dispatch.UpstreamLoad;
import io.jacinthquay.decision.learning.LearnedRates;
import io.jacinthquay.decision.scaling.FleetPlan;
import io.jacinthquay.decision.scaling.FleetPlanner;
import io.jacinthquay.decision.scaling.PoolLoad;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.routing.PoolSpec;
import io.jacinthquay.model.routing.RoutingDocument;
import io.jacinthquay.model.routing.ScalingSpec;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
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
  private final Map<PoolName, FleetPlanner> planners = new HashMap<>();
  private final Map<PoolName, DemandRates> rates = new HashMap<>();
  private List<PoolSpec> pools = List.of();
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
   */
  public PoolScaler(
      ControlStore store,
      RouterRegistry routers,
      SignalsTable signals,
      UpstreamListCache upstreamList,
      Fleet fleet,
      Function<byte[], Either<Failure, RoutingDocument>> decoder) {
    this.store = store;
    this.routers = routers;
    this.signals = signals;
    this.upstreamList = upstreamList;
    this.fleet = fleet;
    this.decoder = decoder;
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
        .peek(decoded -> pools = decoded.pools())
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
    FleetPlanner planner = planners.computeIfAbsent(pool.name(), name -> new FleetPlanner(spec));
    LearnedRates learned = new LearnedRates(listings, signals.all().evidence());
    for (FleetPlan plan : planner.plan(listings, load, candidateDomains(listings, spec), now)) {
      Either<Failure, Void> result =
          fleet.orderUpstreams(
              lease, new UpstreamOrder(pool.name(), plan.domain(), plan.cheap(), plan.count()));
      log.info(
          "order {} {} fence={} need={} load={} listAgeMillis={} tokensPerMilli={} sent={}",
          pool.name(),
          plan,
          lease.fencingToken(),
          planner.need(),
          load,
          (now - snapshot.polledNanos()) / 1_000_000,
          learned.promptTokensPerMilli(pool.name(), plan.domain()),
          result);
      result.peekLeft(failure -> recordFailure(failure, planner, plan, now));
    }
  }

  private static void recordFailure(
      Failure failure, FleetPlanner planner, FleetPlan plan, long now) {
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
