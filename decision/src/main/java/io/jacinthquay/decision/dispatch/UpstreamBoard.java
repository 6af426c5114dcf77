package io.jacinthquay.decision.dispatch;

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

/**
 * All upstreams that this router knows, and the choice among them.
 *
 * <pre>{@code
 * board.choose(work, Set.of(), now).ifPresent(upstream -> board.sent(upstream, work, now));
 * }</pre>
 */
public final class UpstreamBoard {
  /** Share of the cold bound that is used, so that sends that meet on the way stay within it. */
  private static final double COLD_SHARE = 0.7;

  /** What a cold upstream weighs against a warm one, in milliseconds. */
  private static final double COLD_MILLIS = 400;

  /** What a chat weighs the reading of long prompts around it, in milliseconds. */
  private static final double STRAY_MILLIS = 40;

  /** What an upstream of a domain that can't be reached weighs: more than any backlog elsewhere. */
  private static final double CUT_MILLIS = 5_000;

  /** What a long prompt weighs the chats that it would make late, in milliseconds. */
  private static final double DISTURB_MILLIS = 250;

  /** Silence of an upstream that has requests, beyond the time to read them, in milliseconds. */
  private static final double SILENT_MILLIS = 400;

  /** Prompt tokens that even a slow engine reads in a millisecond. */
  private static final double SLOW_TOKENS_PER_MILLI = 20;

  private static final double NANOS_PER_MILLI = 1e6;

  /**
   * Routers from which on each compares few upstreams: they hear of each other so seldom that what
   * looks least loaded to all is not.
   */
  private static final int MANY_ROUTERS = 30;

  /** What an upstream on trial weighs against one that serves, in milliseconds. */
  private static final double TRIAL_MILLIS = -1;

  private final DomainId local;
  private final double coldOverage;
  private final double coldTolerance;
  private final FewChoices fewChoices;
  private final Map<UpstreamId, UpstreamState> states = new HashMap<>();
  private Map<PoolName, PoolSpec> pools = Map.of();
  private Map<PoolName, PlacementRule> rules = Map.of();
  private Map<PoolName, List<UpstreamState>> members = Map.of();
  private Set<DomainId> closed = Set.of();
  private final Map<PoolName, SteadyShare> shares = new HashMap<>();
  private final DomainReach reach = new DomainReach();
  private int routers = 1;

  /**
   * Returns an empty board.
   *
   * @param local the failure domain of this router
   * @param coldOverage factor on the stated rate of a cold upstream up to which sends are allowed
   * @param coldTolerance sends a second allowed beside
   * @param random draws the upstreams that are compared for a request
   */
  public UpstreamBoard(
      DomainId local, double coldOverage, double coldTolerance, RandomGenerator random) {
    this.local = local;
    this.fewChoices = new FewChoices(local, random);
    this.coldOverage = coldOverage;
    this.coldTolerance = coldTolerance;
  }

  /** Takes in the pools of a routing document. */
  public void pools(Map<PoolName, PoolSpec> newPools) {
    Map<PoolName, PoolSpec> before = pools;
    pools = Map.copyOf(newPools);
    Map<PoolName, PlacementRule> newRules = new HashMap<>();
    pools.forEach((name, pool) -> newRules.put(name, rule(pool)));
    rules = newRules;
    pools.forEach((name, pool) -> share(pool, before.get(name)));
    shares.keySet().removeIf(name -> pools.get(name) == null || pools.get(name).engine().isEmpty());
  }

  private void share(PoolSpec pool, PoolSpec before) {
    if (before == null || !before.engine().equals(pool.engine())) {
      pool.engine().ifPresent(e -> shares.put(pool.name(), new SteadyShare(new ReadingPause(e))));
    }
  }

  private static PlacementRule rule(PoolSpec pool) {
    return pool.engine().<PlacementRule>map(EngineRule::new).orElseGet(PlainRule::new);
  }

  /** Takes in a new list; upstreams that it no longer names get nothing more. */
  public void listed(Collection<Listing> listings, long now) {
    Map<PoolName, List<UpstreamState>> next = new HashMap<>();
    Set<UpstreamId> named = new HashSet<>();
    for (Listing listing : listings) {
      PoolSpec pool = pools.get(listing.pool());
      if (pool == null) {
        continue;
      }
      named.add(listing.upstream());
      UpstreamState state = states.get(listing.upstream());
      if (state == null) {
        state = new UpstreamState(listing, pool, now);
        states.put(listing.upstream(), state);
      } else {
        state.listed(listing, now);
      }
      next.computeIfAbsent(listing.pool(), name -> new ArrayList<>()).add(state);
    }
    states
        .values()
        .removeIf(s -> !named.contains(s.listing().upstream()) && s.own().inFlight() <= 0);
    members = next;
    shares.values().forEach(SteadyShare::listed);
  }

  /** Takes in the failure domains that get nothing new. */
  public void closed(Set<DomainId> domains) {
    closed = Set.copyOf(domains);
    shares.values().forEach(SteadyShare::listed);
  }

  /** Takes in how many routers share the bounds, this one included. */
  public void routers(int count) {
    routers = Math.max(1, count);
  }

  /** Takes in what other routers have under way. */
  public void others(Map<UpstreamId, LoadFigures> figures) {
    states.forEach((id, state) -> state.others(figures.getOrDefault(id, LoadFigures.NONE)));
  }

  /** Returns all upstreams with requests of this router under way. */
  public Collection<UpstreamState> states() {
    return states.values();
  }

  /** Returns whether the pool has an upstream that may be used at all. */
  public boolean isServed(PoolName pool) {
    return members.getOrDefault(pool, List.of()).stream().anyMatch(this::isUsable);
  }

  /** Returns whether some upstream may be used and belongs to a domain that isn't silent. */
  public boolean reachesAny() {
    return members.values().stream()
        .flatMap(List::stream)
        .anyMatch(state -> isUsable(state) && !reach.isSilent(state.listing().domain()));
  }

  private boolean isUsable(UpstreamState state) {
    return !state.listing().draining() && !closed.contains(state.listing().domain());
  }

  /**
   * Chooses the upstream with the least cost. Where there are many routers, only a few upstreams
   * are compared, and all only if none of these has a place.
   *
   * @param avoided upstreams that this request was sent to before
   * @return nothing if no upstream has a free place now
   */
  public Optional<UpstreamState> choose(Work work, Set<UpstreamId> avoided, long now) {
    List<UpstreamState> candidates = members.getOrDefault(work.pool(), List.of());
    PlacementRule rule = rules.get(work.pool());
    if (rule == null || candidates.isEmpty()) {
      return Optional.empty();
    }
    Optional<SteadyShare> steady = steady(work.pool(), candidates, now);
    Beginning beginning = beginning(work, candidates, steady, now);
    List<UpstreamState> open = new ArrayList<>();
    for (UpstreamState state : candidates) {
      if (isUsable(state)
          && isAnswering(state, now)
          && !avoided.contains(state.listing().upstream())) {
        open.add(state);
      }
    }
    ToDoubleFunction<UpstreamState> cost =
        state ->
            rule.cost(work, state, beginning, local)
                + apart(work, state, steady)
                + condition(work, state, now);
    if (routers < MANY_ROUTERS) {
      return least(open, cost);
    }
    boolean chat = steady.isPresent() && steady.get().isFor(work);
    List<UpstreamState> group = open.stream().filter(s -> isKept(steady, s) == chat).toList();
    List<UpstreamState> compared = fewChoices.of(group);
    open.stream().filter(s -> beginning.savesReading(work, s)).forEach(compared::add);
    return least(compared, cost).or(() -> least(open, cost));
  }

  private static Optional<UpstreamState> least(
      List<UpstreamState> compared, ToDoubleFunction<UpstreamState> cost) {
    UpstreamState best = null;
    double least = PlacementRule.UNFIT;
    for (UpstreamState state : compared) {
      double each = cost.applyAsDouble(state);
      if (each < least) {
        least = each;
        best = state;
      }
    }
    return Optional.ofNullable(best);
  }

  private boolean isAnswering(UpstreamState state, long now) {
    return state.health().isOpen(now) && !isSilent(state, now);
  }

  /** Returns whether others may get a beginning from an upstream; one that drains still may. */
  private boolean mayHandOver(UpstreamState state, long now) {
    DomainId domain = state.listing().domain();
    return isAnswering(state, now) && !closed.contains(domain) && !reach.isCut(domain, now);
  }

  private Optional<SteadyShare> steady(PoolName pool, List<UpstreamState> candidates, long now) {
    Optional<SteadyShare> share = Optional.ofNullable(shares.get(pool));
    share.ifPresent(s -> s.look(() -> candidates.stream().filter(this::isUsable).toList(), now));
    return share;
  }

  private Beginning beginning(
      Work work, List<UpstreamState> candidates, Optional<SteadyShare> steady, long now) {
    if (work.sharedId() == 0) {
      return new Beginning(null, 0, now);
    }
    double rate = pools.get(work.pool()).engine().map(EngineSpec::transferRate).orElse(0.0);
    Beginning beginning = new Beginning(home(work, candidates, steady), rate, now);
    for (UpstreamState state : candidates) {
      int read = rate > 0 ? state.prefixes().readTokens(work.sharedParts(), now) : 0;
      if (read > 0 && mayHandOver(state, now)) {
        beginning.heldBy(state, read);
      }
    }
    return beginning;
  }

  private double condition(Work work, UpstreamState state, long now) {
    double cut = reach.isCut(state.listing().domain(), now) ? CUT_MILLIS : 0;
    if (state.isCold(now)) {
      return state.coldShare().available(coldRate(work.pool()), now)
          ? cut + COLD_MILLIS
          : PlacementRule.UNFIT;
    }
    return state.health().isOnTrial() ? cut + TRIAL_MILLIS : cut;
  }

  /** Sends a second that this router may make to one cold upstream. */
  private double coldRate(PoolName pool) {
    double stated = pools.get(pool).coldPerSecond();
    return stated <= 0
        ? Double.MAX_VALUE
        : COLD_SHARE * (stated * coldOverage + coldTolerance) / routers;
  }

  /** The upstream to which a shared beginning belongs, the same at every router. */
  private UpstreamState home(
      Work work, List<UpstreamState> candidates, Optional<SteadyShare> steady) {
    long shared = work.sharedId();
    boolean chat = steady.isPresent() && steady.get().isFor(work);
    UpstreamState home = null;
    long highest = Long.MIN_VALUE;
    for (UpstreamState state : candidates) {
      if (isUsable(state) && isKept(steady, state) == chat) {
        long rank = Rank.of(shared, state.listing().upstream());
        if (home == null || rank > highest) {
          highest = rank;
          home = state;
        }
      }
    }
    return home;
  }

  /**
   * Chats keep to the engines that are kept for them; long prompts keep off these, and one at a
   * time goes there where no other engine has a place.
   */
  private static double apart(Work work, UpstreamState state, Optional<SteadyShare> steady) {
    boolean kept = isKept(steady, state);
    if (steady.isPresent() && steady.get().isFor(work)) {
      return kept ? 0 : STRAY_MILLIS;
    }
    if (!kept || work.promptTokens() <= ReadingPause.SHORT_TOKENS) {
      return 0;
    }
    boolean reads = state.load().promptTokens() > ReadingPause.SHORT_TOKENS;
    return reads ? PlacementRule.UNFIT : DISTURB_MILLIS;
  }

  private static boolean isKept(Optional<SteadyShare> steady, UpstreamState state) {
    return steady.isPresent() && steady.get().contains(state);
  }

  /** Records that a request is sent. */
  public Sending sent(UpstreamState state, Work work, long now) {
    if (state.isCold(now)) {
      boolean within = state.coldShare().tryTake(coldRate(work.pool()), now);
      assert within : "a cold upstream was chosen beyond its share";
    }
    state.health().sent();
    reach.sent(state.listing().domain(), now);
    int cached = state.prefixes().cachedTokens(work.parts());
    Beginning beginning =
        beginning(
            work,
            members.getOrDefault(work.pool(), List.of()),
            Optional.ofNullable(shares.get(work.pool())),
            now);
    Optional<Transfer> transfer = beginning.transferTo(state, cached);
    int unread =
        Math.max(0, work.promptTokens() - cached - transfer.map(Transfer::tokens).orElse(0));
    state.sending(new LoadFigures(1, unread, work.memoryTokens(), work.fragility()), now);
    transfer.ifPresent(t -> keepLinksBusy(t, state, now));
    state.prefixes().read(work.parts(), now + readNanos(state.load().promptTokens()));
    Optional<Listing> source = transfer.map(t -> t.source().listing());
    return new Sending(state, work, unread, source, now);
  }

  private static void keepLinksBusy(Transfer transfer, UpstreamState target, long now) {
    long until = now + (long) (transfer.millis() * NANOS_PER_MILLI);
    transfer.source().transfersUntil(until);
    target.transfersUntil(until);
  }

  private static long readNanos(long tokens) {
    return (long) (tokens / SLOW_TOKENS_PER_MILLI * NANOS_PER_MILLI);
  }

  /** Takes in that another router sent a prompt with shared parts to an upstream. */
  public void readElsewhere(UpstreamId upstream, List<PromptPart> shared, long now) {
    UpstreamState state = states.get(upstream);
    if (state != null) {
      state.prefixes().read(shared, now + readNanos(state.load().promptTokens()));
    }
  }

  /** Records that something arrived from an upstream. */
  public void heard(UpstreamState state, long now) {
    state.heard(now);
    reach.heard(state.listing().domain());
  }

  /** Returns whether an upstream answers nobody although it has had the time to. */
  public boolean isSilent(UpstreamState state, long now) {
    double allowed = SILENT_MILLIS + state.load().promptTokens() / SLOW_TOKENS_PER_MILLI;
    return state.silentNanos(now) > allowed * NANOS_PER_MILLI;
  }

  /** Records that the upstream has read the prompt of a request. */
  public void begun(Sending sending, long now) {
    sending.upstream().add(new LoadFigures(0, -sending.unreadTokens(), 0, 0));
    sending.upstream().prefixes().read(sending.work().parts(), now);
  }

  /**
   * Records that a request ended.
   *
   * @param begun whether {@link #begun} was called for it
   * @param end what it says of the upstream
   */
  public void ended(Sending sending, boolean begun, SendEnd end, long now) {
    Work work = sending.work();
    UpstreamState state = sending.upstream();
    int unread = begun ? 0 : sending.unreadTokens();
    state.add(new LoadFigures(-1, -unread, -work.memoryTokens(), -work.fragility()));
    switch (end) {
      case SUCCEEDED -> state.health().succeeded();
      case UNREACHABLE -> {
        state.health().failed(true, now);
        reach.unreachable(state.listing().domain(), state.listing().upstream(), now);
      }
      case ENDED -> state.health().ended(now);
      case FAILED -> state.health().failed(false, now);
      default -> state.health().undecided();
    }
  }
}
