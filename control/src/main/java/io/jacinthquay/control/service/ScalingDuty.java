package io.jacinthquay.control.service;

import io.jacinthquay.control.port.Fence;
import io.jacinthquay.control.port.Fleet;
import io.jacinthquay.control.port.UpstreamOrder;
import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.decision.dispatch.UpstreamLoad;
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

/** Orders upstreams for every pool that can be scaled. */
public final class ScalingDuty {
  private static final Logger log = LogManager.getLogger();
  private static final String NOBODY = "";

  private final ControlStore store;
  private final RouterRegistry routers;
  private final UpstreamFeed feed;
  private final Fleet fleet;
  private final Function<byte[], Either<Failure, RoutingDocument>> decoder;
  private final Map<PoolName, FleetPlanner> planners = new HashMap<>();
  private final Map<PoolName, DemandRates> rates = new HashMap<>();
  private List<PoolSpec> pools = List.of();
  private long poolsVersion = Long.MIN_VALUE;
  private long term = -1;

  /** Returns a duty over the documents, the routers' reports and the list of upstreams. */
  public ScalingDuty(
      ControlStore store,
      RouterRegistry routers,
      UpstreamFeed feed,
      Fleet fleet,
      Function<byte[], Either<Failure, RoutingDocument>> decoder) {
    this.store = store;
    this.routers = routers;
    this.feed = feed;
    this.fleet = fleet;
    this.decoder = decoder;
  }

  /** Sends the orders that are due. */
  public void run(Fence fence, long now) {
    UpstreamFeed.Reading reading = feed.reading();
    if (reading.number() == 0 || !readPools()) {
      return;
    }
    if (fence.number() != term) {
      term = fence.number();
      planners.clear();
    }
    Map<String, UpstreamLoad> loads = routers.loadsBeside(NOBODY);
    for (PoolSpec pool : pools) {
      pool.scaling().ifPresent(spec -> run(fence, pool, spec, reading, loads, now));
    }
  }

  private boolean readPools() {
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
        .peek(read -> pools = read.pools())
        .peekLeft(failure -> log.error("a stored document can't be read: {}", failure.detail()));
    return true;
  }

  private void run(
      Fence fence,
      PoolSpec pool,
      ScalingSpec spec,
      UpstreamFeed.Reading reading,
      Map<String, UpstreamLoad> loads,
      long now) {
    List<UpstreamListing> listings =
        reading.listings().stream().filter(l -> l.pool().equals(pool.name())).toList();
    UpstreamLoad sum = UpstreamLoad.NONE;
    for (UpstreamListing listing : listings) {
      sum = sum.plus(loads.getOrDefault(listing.upstream().value(), UpstreamLoad.NONE));
    }
    DemandRates rate = rates.computeIfAbsent(pool.name(), name -> new DemandRates());
    rate.read(pool.name().value(), routers.demand(), now);
    PoolLoad load = rate.load(sum.inFlight(), sum.promptTokens());
    FleetPlanner planner = planners.computeIfAbsent(pool.name(), name -> new FleetPlanner(spec));
    for (FleetPlan plan : planner.plan(listings, load, domains(listings, spec), now)) {
      Either<Failure, Void> sent =
          fleet.order(
              fence, new UpstreamOrder(pool.name(), plan.domain(), plan.cheap(), plan.count()));
      log.info(
          "order {} {} fence={} need={} load={} listAgeMillis={} sent={}",
          pool.name(),
          plan,
          fence.number(),
          planner.need(),
          load,
          (now - reading.readNanos()) / 1_000_000,
          sent);
      sent.peekLeft(failure -> take(failure, planner, plan, now));
    }
  }

  private static void take(Failure failure, FleetPlanner planner, FleetPlan plan, long now) {
    if (failure.code() == ResultCode.UPSTREAM_REFUSED) {
      planner.refused(plan, now);
    } else {
      planner.recordUnknownOutcome(plan);
    }
  }

  private Set<DomainId> domains(List<UpstreamListing> listings, ScalingSpec spec) {
    Set<DomainId> domains = new HashSet<>(spec.prices().keySet());
    listings.forEach(listing -> domains.add(listing.domain()));
    store.tables().closedDomains().forEach(name -> domains.remove(new DomainId(name)));
    return domains;
  }
}
