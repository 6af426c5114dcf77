package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.dispatch.Contact;
import io.jacinthquay.decision.dispatch.Listing;
import io.jacinthquay.decision.dispatch.LoadFigures;
import io.jacinthquay.decision.dispatch.PromptPart;
import io.jacinthquay.decision.dispatch.UpstreamBoard;
import io.jacinthquay.decision.dispatch.WaitingLine;
import io.jacinthquay.decision.dispatch.Work;
import io.jacinthquay.decision.retry.RouterCount;
import io.jacinthquay.decision.retry.SharedRetryBudget;
import io.jacinthquay.decision.routing.RouteTable;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.router.port.EventThread;
import io.jacinthquay.router.port.ForwardProtocol;
import io.jacinthquay.router.port.UpstreamClient;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** What all requests of a router share: the document in force, the upstreams, who waits. */
public final class ForwardCore {
  private static final Logger log = LogManager.getLogger();

  /** Time between two looks at the waiting lines while somebody waits, in milliseconds. */
  private static final long REVIEW_MILLIS = 10;

  /** Time between two looks for silent upstreams, in milliseconds. */
  private static final long WATCH_MILLIS = 100;

  /** Shared beginnings below this many tokens are read anew in a few milliseconds. */
  private static final int NOTED_TOKENS = 1_000;

  /** Most shared beginnings between two reports. */
  private static final int MOST_NOTED = 256;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private record ToldTime(long wallMillis, long atNanos) {}

  private final ForwardOptions options;
  private final ForwardProtocol protocol;
  private final UpstreamClient client;
  private final UpstreamBoard board;
  private final UsageTally usage;
  private final LongSupplier clock;
  private final ForwardMetrics metrics = new ForwardMetrics();
  private final RequestJournal journal;
  private final Map<PoolName, SharedRetryBudget> budgets = new HashMap<>();
  private final Map<PoolName, WaitingLine<ForwardRun>> lines = new HashMap<>();
  private final Map<PoolName, PoolTally> tallies = new HashMap<>();
  private final Set<ForwardRun> active = ConcurrentHashMap.newKeySet();
  private final List<PrefixRead> reads = new ArrayList<>();
  private final StartHold startHold;
  private List<Listing> listings = List.of();
  private volatile Optional<RouteTable> table = Optional.empty();
  private volatile Optional<ToldTime> sharedTime = Optional.empty();
  private EventThread thread;
  private final RouterCount routers = new RouterCount();
  private final Contact contact = new Contact();
  private volatile boolean listed;
  private boolean reviewing;
  private boolean watching;
  private volatile boolean leaving;
  private volatile boolean closed;

  /** Returns a core without a document and without upstreams. */
  public ForwardCore(ForwardOptions options, ForwardProtocol protocol, UpstreamClient client) {
    this(options, protocol, client, System::nanoTime);
  }

  /**
   * Returns a core whose looks at the waiting lines and for silent upstreams go by a given clock.
   *
   * @param clock monotonic, in nanoseconds, and never behind {@link System#nanoTime()}
   */
  ForwardCore(
      ForwardOptions options, ForwardProtocol protocol, UpstreamClient client, LongSupplier clock) {
    this.options = options;
    this.protocol = protocol;
    this.client = client;
    this.clock = clock;
    this.journal = new RequestJournal(clock, metrics);
    this.board =
        new UpstreamBoard(
            options.domain(),
            options.coldOverage(),
            options.coldTolerance(),
            new SplittableRandom());
    this.startHold = new StartHold(System.nanoTime(), options.startHold());
    this.usage = new UsageTally(options.usageWindow());
    metrics.gauge("jq_forward_in_progress", active::size);
    metrics.gauge("jq_forward_held", startHold::size);
    metrics.gauge("jq_forward_document_version", this::version);
    metrics.gauge("jq_forward_ready", () -> isReady() ? 1 : 0);
  }

  /** Sets the thread of the server; called before any request. */
  public void thread(EventThread ioThread) {
    thread = ioThread;
  }

  /** Returns the thread on which everything else here is called. */
  public EventThread thread() {
    return thread;
  }

  /** Puts a document into force, unless one with a higher number is. */
  public void apply(RouteTable newer) {
    if (table.isPresent() && table.get().version() >= newer.version()) {
      return;
    }
    log.info("document {} is in force", newer.version());
    table = Optional.of(newer);
    board.pools(newer.pools());
    board.listed(listings, clock.getAsLong());
    releaseHeld();
  }

  /** Takes in the platform's list of upstreams. */
  public void listed(Collection<Listing> upstreams) {
    listings = List.copyOf(upstreams);
    listed = true;
    board.listed(listings, clock.getAsLong());
    releaseHeld();
    review();
  }

  private void releaseHeld() {
    if (isInformed()) {
      startHold.release();
    }
  }

  /** Takes in the failure domains that get nothing new. */
  public void closed(Set<DomainId> domains) {
    log.info("closed failure domains: {}", domains);
    board.closed(domains);
  }

  /** Takes in how many routers there are and what the others have under way. */
  public void peers(int count, Map<UpstreamId, LoadFigures> loads) {
    long now = clock.getAsLong();
    contact.told(now);
    routers.told(count, now);
    board.routers(routers.value(now));
    board.others(loads);
  }

  /** Returns the document in force. */
  public Optional<RouteTable> table() {
    return table;
  }

  /** Returns whether the document and the upstreams are known. */
  boolean isInformed() {
    return table.isPresent() && listed;
  }

  /** Returns the requests that wait until {@link #isInformed}. */
  StartHold startHold() {
    return startHold;
  }

  /** Returns how many requests wait until the document and the upstreams are known. */
  public int heldRequests() {
    return startHold.size();
  }

  /** Returns whether requests can be served. */
  public boolean isReady() {
    return isInformed() && !leaving && !contact.isLost(board::reachesAny, clock.getAsLong());
  }

  /** Returns whether the router is about to stop, so that callers should go elsewhere. */
  public boolean isLeaving() {
    return leaving;
  }

  /** Tells callers to go elsewhere from now on; requests are still served. */
  public void leave() {
    leaving = true;
  }

  /** Takes no further requests; those in progress go on. */
  public void refuseNew() {
    closed = true;
  }

  /** Returns whether no further requests are taken. */
  boolean refusesNew() {
    return closed;
  }

  /** Returns how many requests are in progress, held ones included. */
  public int inProgress() {
    return active.size() + startHold.size();
  }

  /** Returns the number of the document in force, -1 for none. */
  public long version() {
    return table.map(RouteTable::version).orElse(-1L);
  }

  /** Returns what the control VMs are told. */
  public ForwardReport report() {
    Map<UpstreamId, LoadFigures> loads = new HashMap<>();
    board.states().stream()
        .filter(state -> state.own().inFlight() > 0)
        .forEach(state -> loads.put(state.listing().upstream(), state.own()));
    Map<PoolName, ForwardReport.PoolDemand> demand = new HashMap<>();
    tallies.forEach((pool, tally) -> demand.put(pool, tally.demand(line(pool).size())));
    ForwardReport report = new ForwardReport(loads, usage.counts(), demand, reads);
    reads.clear();
    return report;
  }

  /** Takes in which shared beginnings other routers sent. */
  public void readElsewhere(List<PrefixRead> others) {
    long now = clock.getAsLong();
    others.forEach(read -> board.readElsewhere(read.upstream(), read.parts(), now));
  }

  /** Notes a shared beginning, so that other routers learn where it is. */
  void noteRead(UpstreamId upstream, Work work) {
    List<PromptPart> shared = work.sharedParts();
    int tokens = shared.stream().mapToInt(PromptPart::tokens).sum();
    if (tokens >= NOTED_TOKENS && reads.size() < MOST_NOTED) {
      reads.add(new PrefixRead(upstream, shared));
    }
  }

  /**
   * Takes in the time of day that all VMs share, as it was just told; any thread may call.
   *
   * @param wallMillis milliseconds since the epoch
   */
  public void timeOfDay(long wallMillis) {
    sharedTime = Optional.of(new ToldTime(wallMillis, clock.getAsLong()));
  }

  /** Returns the time of day that all VMs share, or this VM's own until one was told. */
  long timeOfDay() {
    return sharedTime
        .map(told -> told.wallMillis() + (clock.getAsLong() - told.atNanos()) / NANOS_PER_MILLI)
        .orElseGet(System::currentTimeMillis);
  }

  /** Returns what is counted. */
  public ForwardMetrics metrics() {
    return metrics;
  }

  ForwardProtocol protocol() {
    return protocol;
  }

  UpstreamClient client() {
    return client;
  }

  UpstreamBoard board() {
    return board;
  }

  UsageTally usage() {
    return usage;
  }

  RequestJournal journal() {
    return journal;
  }

  PoolTally tally(PoolName pool) {
    return tallies.computeIfAbsent(pool, name -> new PoolTally());
  }

  WaitingLine<ForwardRun> line(PoolName pool) {
    return lines.computeIfAbsent(pool, name -> new WaitingLine<>());
  }

  private SharedRetryBudget budget(PoolName pool) {
    return budgets.computeIfAbsent(
        pool,
        name ->
            new SharedRetryBudget(
                options.retryRatio(), options.retryExtra(), options.retryWindow().toNanos()));
  }

  void firstSend(PoolName pool, long now) {
    budget(pool).sent(now);
  }

  boolean mayRepeat(PoolName pool, long now) {
    return budget(pool).tryTake(routers.value(now), now);
  }

  void started(ForwardRun run) {
    active.add(run);
    if (!watching) {
      watching = true;
      thread.after(WATCH_MILLIS, this::watch);
    }
  }

  /** Looks for requests whose upstream has fallen silent, while any are in progress. */
  private void watch() {
    long now = clock.getAsLong();
    List.copyOf(active).forEach(run -> run.review(now));
    watching = !active.isEmpty();
    if (watching) {
      thread.after(WATCH_MILLIS, this::watch);
    }
  }

  void ended(ForwardRun run) {
    active.remove(run);
  }

  /** Lets a request wait for a place; one of a lower rank may have to leave for it. */
  boolean await(ForwardRun run, Work work, long giveUpNanos) {
    List<ForwardRun> displaced = new ArrayList<>();
    boolean added = line(work.pool()).add(run, work, giveUpNanos, displaced);
    displaced.forEach(ForwardRun::turnedAway);
    scheduleReview();
    return added;
  }

  private void scheduleReview() {
    if (!reviewing) {
      reviewing = true;
      thread.after(
          REVIEW_MILLIS,
          () -> {
            reviewing = false;
            review();
          });
    }
  }

  /** Lets those who wait look for a place soon, after a request has ended. */
  void placeFreed() {
    if (lines.values().stream().anyMatch(line -> !line.isEmpty())) {
      thread.execute(this::review);
    }
  }

  /** Offers free places to those who wait, and turns away those who waited too long. */
  void review() {
    long now = clock.getAsLong();
    boolean waiting = false;
    for (WaitingLine<ForwardRun> line : lines.values()) {
      if (!line.isEmpty()) {
        line.offer(run -> run.tryPlace(now));
        line.expired(now).forEach(ForwardRun::turnedAway);
        waiting |= !line.isEmpty();
      }
    }
    if (waiting) {
      scheduleReview();
    }
  }
}
