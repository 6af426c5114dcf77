package io.jacinthquay.decision.dispatch;

import io.jacinthquay.decision.cluster.RouterSignals;
import io.jacinthquay.decision.learning.LearnedRates;
import io.jacinthquay.decision.learning.RateEstimator;
import io.jacinthquay.decision.learning.RateUse;
import io.jacinthquay.decision.pace.SlowStart;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.routing.EngineSpec;
import io.jacinthquay.model.routing.PoolSpec;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

/**
 * Tracks the upstreams that this router knows and selects one for each request.
 *
 * <pre>{@code
 * selector.choose(work, Set.of(), now).ifPresent(upstream -> selector.sent(upstream, work, now));
 * }</pre>
 */
public final class UpstreamSelector {
  /**
   * Share of the cold bound that is used; leaves room for sends that are delayed and arrive
   * together.
   */
  private static final double USED_COLD_SHARE = 0.7;

  /** Cost of a cold upstream compared with a warm one, in milliseconds. */
  private static final double COLD_MILLIS = 400;

  /** Cost of an upstream in an unreachable domain, in milliseconds; more than any backlog. */
  private static final double UNREACHABLE_MILLIS = 5_000;

  /**
   * Time beyond prefill after which an upstream with requests counts as silent, in milliseconds.
   */
  private static final double SILENCE_MILLIS = 400;

  private static final double NANOS_PER_MILLI = 1e6;

  /**
   * Number of routers from which only a sample of upstreams is compared. So many routers exchange
   * load so rarely that the upstream that looks least loaded to all of them is not.
   */
  private static final int MANY_ROUTERS = 30;

  /** Cost of an upstream that is due for a probe, in milliseconds; negative so that it is tried. */
  private static final double PROBE_MILLIS = -1;

  private final DomainId local;
  private final double coldOverage;
  private final double coldTolerance;
  private final CandidateSampler sampler;
  private final CurrentRates rates;
  private final LearnedChoice learnedChoice;
  private final Map<UpstreamId, UpstreamState> states = new HashMap<>();
  private Map<PoolName, PoolSpec> pools = Map.of();
  private Map<PoolName, PlacementRule> rules = Map.of();
  private Map<PoolName, List<UpstreamState>> upstreamsByPool = Map.of();
  private final Eligibility eligibility = new Eligibility();
  private final Map<PoolName, ReservedEngines> reservations = new HashMap<>();
  private final DomainReachability reachability = new DomainReachability();
  private int routerCount = 1;
  private final UpstreamPacing pacing;
  private final StatedLimits limits = new StatedLimits();

  /**
   * Returns a selector without upstreams.
   *
   * @param local the failure domain of this router
   * @param coldOverage factor on the stated rate of a cold upstream up to which sends are allowed
   * @param coldTolerance sends per second allowed in addition
   * @param random selects the upstreams that are compared for a request
   */
  public UpstreamSelector(
      DomainId local, double coldOverage, double coldTolerance, RandomGenerator random) {
    this(local, coldOverage, coldTolerance, random, RateUse.NONE);
  }

  /**
   * Returns a selector without upstreams.
   *
   * @param local the failure domain of this router
   * @param coldOverage factor on the stated rate of a cold upstream up to which sends are allowed
   * @param coldTolerance sends per second allowed in addition
   * @param random selects the upstreams that are compared for a request
   * @param rateUse whether rates of upstreams are observed and used
   */
  public UpstreamSelector(
      DomainId local,
      double coldOverage,
      double coldTolerance,
      RandomGenerator random,
      RateUse rateUse) {
    this.local = local;
    this.sampler = new CandidateSampler(local, random);
    this.rates = new CurrentRates(rateUse);
    this.pacing = new UpstreamPacing(rates.estimator());
    this.learnedChoice = new LearnedChoice(rates, sampler);
    this.coldOverage = coldOverage;
    this.coldTolerance = coldTolerance;
  }

  /** Limits sends to upstreams that are new or have come back; call before the first listing. */
  public void paceBy(SlowStart slowStart) {
    pacing.enable(slowStart);
  }

  /** Sets the pools of a routing document. */
  public void setPools(Map<PoolName, PoolSpec> newPools) {
    Map<PoolName, PoolSpec> previous = pools;
    pools = Map.copyOf(newPools);
    Map<PoolName, PlacementRule> newRules = new HashMap<>();
    pools.forEach((name, pool) -> newRules.put(name, rule(pool)));
    rules = newRules;
    pools.forEach((name, pool) -> reserve(pool, previous.get(name)));
    reservations
        .keySet()
        .removeIf(name -> pools.get(name) == null || pools.get(name).engine().isEmpty());
  }

  private void reserve(PoolSpec pool, PoolSpec previous) {
    if (previous == null || !previous.engine().equals(pool.engine())) {
      pool.engine()
          .ifPresent(
              spec ->
                  reservations.put(
                      pool.name(), new ReservedEngines(new PrefillPause(spec), rates)));
    }
  }

  private PlacementRule rule(PoolSpec pool) {
    return pool.engine()
        .<PlacementRule>map(spec -> new EngineRule(spec, rates))
        .orElseGet(() -> new PlainRule(rates));
  }

  /** Sets the list of upstreams; those that it no longer names get no more requests. */
  public void setListings(Collection<UpstreamListing> listings, long now) {
    Map<PoolName, List<UpstreamState>> newUpstreams = new HashMap<>();
    Set<UpstreamId> listedIds = new HashSet<>();
    for (UpstreamListing listing : listings) {
      PoolSpec pool = pools.get(listing.pool());
      if (pool == null) {
        continue;
      }
      listedIds.add(listing.upstream());
      UpstreamState state = states.get(listing.upstream());
      if (state == null) {
        state = new UpstreamState(listing, pool, now);
        states.put(listing.upstream(), state);
        List<UpstreamState> before = upstreamsByPool.getOrDefault(listing.pool(), List.of());
        pacing.recordNew(state, before, now);
      } else {
        pacing.recordListing(state, listing, now);
        state.updateListing(listing, now);
      }
      newUpstreams.computeIfAbsent(listing.pool(), name -> new ArrayList<>()).add(state);
    }
    states
        .values()
        .removeIf(s -> !listedIds.contains(s.listing().upstream()) && s.own().inFlight() <= 0);
    upstreamsByPool = newUpstreams;
    rates.estimator().ifPresent(estimator -> estimator.retainAll(states.keySet()));
    pacing.retain(listedIds, now);
    limits.retain(states.keySet());
    reservations.values().forEach(ReservedEngines::invalidate);
  }

  /** Sets the failure domains that get no new requests. */
  public void setClosedDomains(Set<DomainId> domains) {
    eligibility.setClosedDomains(domains);
    reservations.values().forEach(ReservedEngines::invalidate);
  }

  /** Sets how many routers share the bounds, including this one. */
  public void setRouterCount(int count) {
    routerCount = Math.max(1, count);
  }

  /** Returns the limits that upstreams state. */
  public StatedLimits statedLimits() {
    return limits;
  }

  /** Sets the load of other routers at each upstream. */
  public void setRemoteLoads(Map<UpstreamId, UpstreamLoad> figures) {
    states.forEach((id, state) -> state.setRemoteLoad(figures.getOrDefault(id, UpstreamLoad.NONE)));
  }

  /** Sets what the other routers have observed; used only if rates are learned. */
  public void setRemoteSignals(RouterSignals signals, long now) {
    rates.estimator().ifPresent(estimator -> estimator.setRemote(signals.evidence(), now));
  }

  /** Returns what this router has observed; empty if it doesn't learn rates. */
  public Optional<RateEstimator> estimator() {
    return rates.estimator();
  }

  /** Returns the output tokens per event of a pool's engines; 0 if it has none. */
  public int tokensPerEvent(PoolName pool) {
    return Optional.ofNullable(pools.get(pool))
        .flatMap(PoolSpec::engine)
        .map(EngineSpec::tokensPerEvent)
        .orElse(0);
  }

  private Stream<UpstreamState> allUsable() {
    return upstreamsByPool.values().stream().flatMap(List::stream).filter(eligibility::isUsable);
  }

  /** Returns how fast the upstreams work, as far as it is learned. */
  public LearnedRates learnedRates(long now) {
    return rates.learned(this::listings, now);
  }

  private Collection<UpstreamListing> listings() {
    return states.values().stream().map(UpstreamState::listing).toList();
  }

  /** Returns all listed upstreams and those that still run requests of this router. */
  public Collection<UpstreamState> states() {
    return states.values();
  }

  /** Returns whether the pool has an upstream that may serve the request, now or later. */
  public boolean isServed(PoolRequest work, long now) {
    return !eligibility.serving(upstreams(work.pool()), work, now).isEmpty();
  }

  /** Returns the upstreams of a pool that may get new requests. */
  public List<UpstreamState> usable(PoolName pool) {
    return upstreams(pool).stream().filter(eligibility::isUsable).toList();
  }

  private List<UpstreamState> upstreams(PoolName pool) {
    return upstreamsByPool.getOrDefault(pool, List.of());
  }

  /**
   * Returns whether some usable upstream belongs to a domain that isn't known to be unreachable.
   */
  public boolean hasReachableUpstream() {
    return allUsable().anyMatch(state -> !reachability.isUnreachable(state.listing().domain()));
  }

  /**
   * Selects the upstream with the least cost. With many routers, only a sample of upstreams is
   * compared, and all of them only if none of the sample has capacity.
   *
   * @param avoided upstreams that this request was sent to before
   * @return empty if no upstream has capacity now
   */
  public Optional<UpstreamState> choose(PoolRequest work, Set<UpstreamId> avoided, long now) {
    List<UpstreamState> candidates = upstreams(work.pool());
    PlacementRule rule = rules.get(work.pool());
    if (rule == null || candidates.isEmpty()) {
      return Optional.empty();
    }
    rates.refresh(this::listings, now);
    pacing.updateIfDue(() -> allUsable().toList(), routerCount, now);
    Optional<ReservedEngines> reserved = reserved(work.pool(), now);
    reserved.ifPresent(r -> r.recordTarget(work, now));
    ChatSeparation separation = new ChatSeparation(work, reserved, rates.isLearned());
    List<UpstreamState> serving = eligibility.serving(candidates, work, now);
    SharedPrefix prefix = sharedPrefix(work, home(work, serving, reserved), now);
    boolean poolFails =
        rates.isLearned() && PoolFailure.isFailing(candidates, eligibility::isUsable);
    List<UpstreamState> open = new ArrayList<>();
    List<UpstreamState> excess = new ArrayList<>();
    for (UpstreamState state : serving) {
      if ((isAnswering(state, now) || (poolFails && mayTryDespiteFailures(state, now)))
          && !avoided.contains(state.listing().upstream())
          && limits.allows(state, now)) {
        if (pacing.allows(state)) {
          open.add(state);
        } else if (pacing.allowsExcess(state)) {
          excess.add(state);
        }
      }
    }
    ToDoubleFunction<UpstreamState> cost =
        state ->
            rule.cost(work, state, prefix, local)
                + separation.cost(state)
                + conditionCost(work, state, poolFails, now);
    if (routerCount < MANY_ROUTERS) {
      return PlacementRule.cheapest(open, cost).or(() -> PlacementRule.cheapest(excess, cost));
    }
    boolean chat = reserved.isPresent() && reserved.get().isFor(work);
    if (rates.isLearned()) {
      return learnedChoice
          .choose(work, open, prefix, separation::suits, pacing::isLimited, cost)
          .or(
              () ->
                  learnedChoice.choose(
                      work, excess, prefix, separation::suits, pacing::isLimited, cost));
    }
    List<UpstreamState> group =
        open.stream().filter(s -> separation.isReserved(s) == chat).toList();
    List<UpstreamState> compared = sampler.sample(group);
    open.stream().filter(s -> prefix.reducesPrefill(work, s)).forEach(compared::add);
    open.stream().filter(pacing::isLimited).forEach(compared::add);
    return PlacementRule.cheapest(compared, cost)
        .or(() -> PlacementRule.cheapest(open, cost))
        .or(() -> PlacementRule.cheapest(excess, cost));
  }

  private boolean mayTryDespiteFailures(UpstreamState state, long now) {
    return state.health().isBlockedByFailures() && !isSilent(state, now);
  }

  private boolean isAnswering(UpstreamState state, long now) {
    pacing.allowProbe(state, now);
    return state.health().allowsRequest(now) && !isSilent(state, now);
  }

  /**
   * Returns whether others may fetch a prefix from an upstream; a draining one may still serve it.
   */
  private boolean isTransferSource(UpstreamState state, long now) {
    DomainId domain = state.listing().domain();
    return isAnswering(state, now)
        && !eligibility.isClosed(domain)
        && !reachability.isAvoided(domain, now);
  }

  private Optional<ReservedEngines> reserved(PoolName pool, long now) {
    Optional<ReservedEngines> share = Optional.ofNullable(reservations.get(pool));
    share.ifPresent(s -> s.refresh(() -> usable(pool), now));
    return share;
  }

  private SharedPrefix sharedPrefix(PoolRequest work, UpstreamState home, long now) {
    if (work.sharedId() == 0) {
      return new SharedPrefix(null, 0, now);
    }
    double rate =
        pools.get(work.pool()).engine().map(EngineSpec::transferTokensPerMilli).orElse(0.0);
    SharedPrefix prefix = new SharedPrefix(home, rate, now);
    for (UpstreamState state : upstreams(work.pool())) {
      int read = rate > 0 ? state.prefixes().readTokens(work.sharedParts(), now) : 0;
      if (read > 0 && isTransferSource(state, now)) {
        prefix.addHolder(state, read);
      }
    }
    return prefix;
  }

  private double conditionCost(PoolRequest work, UpstreamState state, boolean poolFails, long now) {
    double extraCost =
        reachability.isAvoided(state.listing().domain(), now) ? UNREACHABLE_MILLIS : 0;
    // A response that is missed costs its target; fixed rates have no misses.
    extraCost += work.targetMillis() * rates.get().excessMisses(state.listing());
    if (state.isCold(now)) {
      return state.coldLimiter().isAvailable(coldRate(work.pool()), now)
          ? extraCost + COLD_MILLIS
          : PlacementRule.UNAVAILABLE;
    }
    return state.health().isBlockedOrProbing() && !poolFails ? extraCost + PROBE_MILLIS : extraCost;
  }

  /** Returns the sends per second that this router may make to one cold upstream. */
  private double coldRate(PoolName pool) {
    double stated = pools.get(pool).coldRequestsPerSecond();
    return stated <= 0
        ? Double.MAX_VALUE
        : USED_COLD_SHARE * (stated * coldOverage + coldTolerance) / routerCount;
  }

  /** Returns the home upstream of a shared prefix, the same at every router; null without one. */
  private UpstreamState home(
      PoolRequest work, List<UpstreamState> serving, Optional<ReservedEngines> reserved) {
    long shared = work.sharedId();
    if (shared == 0) {
      return null;
    }
    ChatSeparation separation = new ChatSeparation(work, reserved, rates.isLearned());
    boolean chat = separation.isReservedFor();
    UpstreamState home = null;
    long highest = Long.MIN_VALUE;
    for (UpstreamState state : serving) {
      if (!limits.isLimited(state) && separation.isReserved(state) == chat) {
        long weight = RendezvousHash.weight(shared, state.listing().upstream());
        if (home == null || weight > highest) {
          highest = weight;
          home = state;
        }
      }
    }
    return home;
  }

  /** Records that a request is sent to an upstream. */
  public SentRequest sent(UpstreamState state, PoolRequest work, long now) {
    if (state.isCold(now)) {
      boolean within = state.coldLimiter().tryAcquire(coldRate(work.pool()), now);
      assert within : "selected a cold upstream beyond its rate limit";
    }
    limits.recordSend(state, now);
    state.health().recordSend();
    reachability.recordSend(state.listing().domain(), now);
    long ahead = state.load().promptTokens();
    int cached = state.prefixes().cachedTokens(work.parts());
    // A transfer comes from any engine that has read the prefix, so its home doesn't matter.
    Optional<PrefixTransfer> transfer = sharedPrefix(work, null, now).transferTo(state, cached);
    int unread =
        Math.max(0, work.promptTokens() - cached - transfer.map(PrefixTransfer::tokens).orElse(0));
    state.addSend(new UpstreamLoad(1, unread, work.memoryTokens(), work.pauseSensitivity()), now);
    transfer.ifPresent(t -> t.occupyLinks(state, now));
    state.prefixes().recordPrefill(work.parts(), now + prefillNanos(state));
    Optional<UpstreamListing> source = transfer.map(t -> t.source().listing());
    long tokens = work.promptTokens() == 0 ? 0 : Math.max(1, ahead + unread);
    return new SentRequest(
        state, work, unread, source, ahead, rates.figure(state.listing(), tokens, now), now);
  }

  /** Returns the time that an engine takes at most for the prompts that it has. */
  private long prefillNanos(UpstreamState state) {
    long tokens = state.load().promptTokens();
    return (long) (tokens / rates.slowTokensPerMilli(state.listing()) * NANOS_PER_MILLI);
  }

  /** Records that another router sent a prompt with shared parts to an upstream. */
  public void recordRemotePrefill(UpstreamId upstream, List<PromptPart> shared, long now) {
    UpstreamState state = states.get(upstream);
    if (state != null) {
      state.prefixes().recordPrefill(shared, now + prefillNanos(state));
    }
  }

  /** Records that data arrived from an upstream. */
  public void recordActivity(UpstreamState state, long now) {
    state.recordActivity(now);
    reachability.recordActivity(state.listing().domain());
  }

  /**
   * Returns whether an upstream with requests has been silent for longer than their prefill takes.
   */
  public boolean isSilent(UpstreamState state, long now) {
    double allowed =
        SILENCE_MILLIS + state.load().promptTokens() / rates.slowTokensPerMilli(state.listing());
    return state.silentNanos(now) > allowed * NANOS_PER_MILLI;
  }

  /** Records that the upstream has read the prompt of a request. */
  public void recordPrefill(SentRequest sending, long now) {
    sending.upstream().addLoad(new UpstreamLoad(0, -sending.unreadTokens(), 0, 0));
    sending.upstream().prefixes().recordPrefill(sending.work().parts(), now);
  }

  /**
   * Records that a request ended.
   *
   * @param begun whether the end of its prefill was recorded before
   * @param end the result, as evidence about the upstream
   */
  public void recordEnd(SentRequest sending, boolean begun, SendOutcome end, long now) {
    PoolRequest work = sending.work();
    UpstreamState state = sending.upstream();
    int unread = begun ? 0 : sending.unreadTokens();
    state.addLoad(new UpstreamLoad(-1, -unread, -work.memoryTokens(), -work.pauseSensitivity()));
    switch (end) {
      case SUCCEEDED -> state.health().recordSuccess();
      case UNREACHABLE -> {
        state.health().recordFailure(true, now);
        reachability.recordUnreachable(state.listing().domain(), state.listing().upstream(), now);
      }
      case ENDED -> state.health().recordGone(now);
      case FAILED -> state.health().recordFailure(false, now);
      default -> state.health().recordUndecided();
    }
    if (end == SendOutcome.FAILED || end == SendOutcome.UNREACHABLE) {
      pacing.recordFailure(state, now);
    }
  }
}
