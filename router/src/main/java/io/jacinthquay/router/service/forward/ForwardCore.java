package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.cluster.RouterSignals;
import io.jacinthquay.decision.dispatch.RouterIsolation;
import io.jacinthquay.decision.dispatch.RouterTurn;
import io.jacinthquay.decision.dispatch.SentRequest;
import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.decision.dispatch.UpstreamLoad;
import io.jacinthquay.decision.dispatch.UpstreamSelector;
import io.jacinthquay.decision.quarantine.PartId;
import io.jacinthquay.decision.quarantine.QuarantinedPart;
import io.jacinthquay.decision.routing.RouteTable;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.routing.PoolSpec;
import io.jacinthquay.router.port.Caller;
import io.jacinthquay.router.port.EventThread;
import io.jacinthquay.router.port.ForwardProtocol;
import io.jacinthquay.router.port.StreamOrigins;
import io.jacinthquay.router.port.UpstreamClient;
import io.jacinthquay.runtime.http.AnswerMemory;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * State that all forwarded requests of a router share: the routing document in force, the upstreams
 * and the queues of waiting requests.
 */
public final class ForwardCore {
  private static final Logger log = LogManager.getLogger();

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Share of the heap for answers that are buffered, and for events that are incomplete. */
  private static final double ANSWER_HEAP_SHARE = 0.2;

  /** Bytes that an answer may hold while others hold all of it; usual ones are smaller. */
  private static final int SMALL_ANSWER_BYTES = 32 * 1024;

  private record SyncedTime(long wallMillis, long syncedNanos) {}

  private final boolean learnsRates;
  private final boolean sharesQueue;
  private final ForwardProtocol protocol;
  private final UpstreamClient client;
  private final UpstreamSelector selector;
  private final UpstreamNotices notices;
  private final RateLearning learning;
  private final WindowedUsage usage;
  private final LongSupplier clock;
  private final ForwardMetrics metrics = new ForwardMetrics();
  private final RequestJournal journal;
  private final RetryBudgets retryBudgets;
  private final WaitingLines waiting;
  private final QueueDispatcher queues;
  private final Map<PoolName, PoolCounters> countersByPool = new HashMap<>();
  private final Set<ForwardExchange> active = ConcurrentHashMap.newKeySet();
  private final CachedPrefixLog prefixLog = new CachedPrefixLog();
  private final StartupQueue startupQueue;
  private List<UpstreamListing> listings = List.of();
  private volatile Optional<RouteTable> table = Optional.empty();
  private volatile Optional<SyncedTime> syncedTime = Optional.empty();
  private EventThread thread;
  private StreamOrigins streamOrigins;
  private final RouterIsolation contact = new RouterIsolation();
  private final AnswerMemory answerMemory =
      new AnswerMemory((long) (Runtime.getRuntime().maxMemory() * ANSWER_HEAP_SHARE));
  private final PromptQuarantine quarantine = new PromptQuarantine(contact);
  private volatile boolean upstreamsKnown;
  private final SilenceCheck silenceCheck =
      new SilenceCheck(this::thread, this::retryRequestsOfSilentUpstreams);
  private volatile BooleanSupplier listening = () -> true;
  private volatile boolean leaving;
  private volatile boolean refusingNew;

  /** Returns a core without a document and without upstreams. */
  public ForwardCore(ForwardOptions options, ForwardProtocol protocol, UpstreamClient client) {
    this(options, protocol, client, System::nanoTime);
  }

  /**
   * Returns a core that polls queues and checks for silent upstreams by the given clock.
   *
   * @param clock monotonic, in nanoseconds, and never behind {@link System#nanoTime()}
   */
  ForwardCore(
      ForwardOptions options, ForwardProtocol protocol, UpstreamClient client, LongSupplier clock) {
    this.learnsRates = options.learnsRates();
    this.sharesQueue = options.uses(LearnedPart.QUEUE);
    this.protocol = protocol;
    this.client = client;
    this.clock = clock;
    this.journal = new RequestJournal(clock, metrics);
    ForwardOptions.ColdLimits cold = options.coldLimits().orElse(ForwardOptions.ColdLimits.STATED);
    this.selector =
        new UpstreamSelector(
            options.domain(),
            cold.overage(),
            cold.tolerance(),
            new SplittableRandom(),
            options.rateUse());
    this.streamOrigins = new ListedOrigins(selector);
    this.notices = new UpstreamNotices(selector.statedLimits(), metrics);
    this.learning = new RateLearning(selector, metrics);
    this.waiting =
        new WaitingLines(sharesQueue, selector, this::hasEngines, metrics, clock.getAsLong());
    this.queues = new QueueDispatcher(waiting, this::thread, clock);
    if (options.uses(LearnedPart.SLOW_START)) {
      SlowStartReport.enable(selector, metrics, clock);
    }
    this.startupQueue = new StartupQueue(System.nanoTime(), options.startHold());
    this.usage = new WindowedUsage(options.usageWindow());
    this.retryBudgets = new RetryBudgets(options, metrics, clock);
    metrics.gauge("jq_forward_in_progress", active::size);
    metrics.gauge("jq_forward_held", startupQueue::size);
    metrics.gauge("jq_forward_answer_bytes", answerMemory::heldBytes);
    metrics.gauge("jq_forward_quarantined_parts", quarantine::size);
    metrics.gauge("jq_forward_document_version", this::version);
    metrics.gauge("jq_forward_ready", () -> isReady() ? 1 : 0);
  }

  /** Sets the I/O thread of the server; must be called before the first request. */
  public void thread(EventThread ioThread) {
    thread = ioThread;
  }

  /** Sets what remembers which versions began streams; call before the first request. */
  public void streamOrigins(StreamOrigins origins) {
    streamOrigins = origins;
  }

  StreamOrigins streamOrigins() {
    return streamOrigins;
  }

  /** Returns the I/O thread, on which all methods run that do not say otherwise. */
  public EventThread thread() {
    return thread;
  }

  /** Applies a routing document, unless the current one has the same or a higher version. */
  public void apply(RouteTable newTable) {
    if (table.isPresent() && table.get().version() >= newTable.version()) {
      return;
    }
    log.info("document {} is in force", newTable.version());
    table = Optional.of(newTable);
    selector.setPools(newTable.pools());
    selector.setListings(listings, clock.getAsLong());
    releaseHeld();
  }

  /** Updates the platform's list of upstreams. */
  public void updateListings(Collection<UpstreamListing> upstreams) {
    listings = List.copyOf(upstreams);
    upstreamsKnown = true;
    long now = clock.getAsLong();
    selector.setListings(listings, now);
    releaseHeld();
    endRequestsOfGoneVersions(now);
    queues.poll();
  }

  private void endRequestsOfGoneVersions(long now) {
    forEachActive(exchange -> exchange.endIfVersionGone(now));
  }

  private void releaseHeld() {
    if (isInitialized()) {
      startupQueue.release();
    }
  }

  /** Sets the failure domains that get no new requests. */
  public void updateClosedDomains(Set<DomainId> domains) {
    log.info("closed failure domains: {}", domains);
    selector.setClosedDomains(domains);
    endRequestsOfGoneVersions(clock.getAsLong());
  }

  /**
   * Updates the number of routers, and what the other routers have in flight and report.
   *
   * @param count number of routers
   * @param loads load of the other routers by upstream
   * @param signals sum of the signals of the other routers
   */
  public void updatePeers(int count, Map<UpstreamId, UpstreamLoad> loads, RouterSignals signals) {
    long now = clock.getAsLong();
    contact.recordControlMessage(now);
    selector.setRouterCount(retryBudgets.updateRouters(count, now));
    selector.setRemoteLoads(waiting.withoutStaleLimits(loads));
    selector.setRemoteSignals(signals, now);
    waiting.updateOthers(count, signals, now);
  }

  /**
   * Sets this router's place in the order in which routers send to upstreams that state a limit.
   *
   * @param position number of routers before this one, 0 or more
   * @param count number of routers, above the position
   */
  public void updateTurn(int position, int count) {
    long now = clock.getAsLong();
    long sharedNanos = timeOfDay() * NANOS_PER_MILLI;
    selector.statedLimits().setTurn(new RouterTurn(position, count, sharedNanos - now), now);
  }

  /**
   * Sets the quarantined parts of prompts and cancels sends with such a part whose answer is not
   * under way, since each may crash an upstream.
   */
  public void updateQuarantinedParts(Collection<QuarantinedPart> parts) {
    quarantine.updateQuarantined(parts);
    forEachActive(ForwardExchange::endIfQuarantined);
  }

  /**
   * Records what the control VMs say about suspect parts of prompts.
   *
   * @param suspects parts that may have crashed an upstream
   * @param trials quarantined parts with each of which one request may be sent
   */
  public void updateSuspectParts(Collection<PartId> suspects, Collection<PartId> trials) {
    quarantine.recordControlMessage(suspects, trials, clock.getAsLong());
  }

  /** Returns the document in force. */
  public Optional<RouteTable> table() {
    return table;
  }

  /** Returns whether the routing document and the upstreams are known. */
  boolean isInitialized() {
    return table.isPresent() && upstreamsKnown;
  }

  /** Returns the queue of requests that wait for {@link #isInitialized}. */
  StartupQueue startupQueue() {
    return startupQueue;
  }

  /** Returns how many requests wait for the routing document and the upstreams. */
  public int queuedRequests() {
    return startupQueue.size();
  }

  /** Sets what returns whether callers can connect; they can by default. */
  public void listening(BooleanSupplier value) {
    listening = value;
  }

  /** Returns whether requests can be served. */
  public boolean isReady() {
    return isInitialized()
        && listening.getAsBoolean()
        && !leaving
        && !contact.isIsolated(selector::hasReachableUpstream, clock.getAsLong());
  }

  /** Returns whether the router is about to stop, so that callers should use another one. */
  public boolean isLeaving() {
    return leaving;
  }

  /** Reports this router as not ready from now on; it still serves requests. */
  public void leave() {
    leaving = true;
  }

  /**
   * Refuses from now on new requests, those that are still being read and those in the startup
   * queue; others in progress continue. May be called from any thread.
   */
  public void refuseNewRequests() {
    refusingNew = true;
    thread.execute(startupQueue::expire);
  }

  /**
   * Ends requests in progress with a final answer, except those whose answer is under way. May be
   * called from any thread.
   */
  public void endUnansweredRequests() {
    thread.execute(() -> forEachActive(ForwardExchange::endBeforeStop));
  }

  /** Returns whether new requests are refused. */
  boolean refusesNew() {
    return refusingNew;
  }

  /** Returns how many requests are in progress, including those in the startup queue. */
  public int inProgress() {
    return active.size() + startupQueue.size();
  }

  /** Returns the version of the routing document in force, or -1 if there is none. */
  public long version() {
    return table.map(RouteTable::version).orElse(-1L);
  }

  /** Returns a report for the control VMs and clears the prefixes collected for it. */
  public ForwardReport report() {
    Map<UpstreamId, UpstreamLoad> loads = new HashMap<>();
    selector.states().stream()
        .filter(state -> state.own().inFlight() > 0)
        .forEach(state -> loads.put(state.listing().upstream(), state.own()));
    Map<PoolName, ForwardReport.PoolDemand> demand = new HashMap<>();
    countersByPool.forEach(
        (pool, counters) -> demand.put(pool, counters.demand(waiting.line(pool).size())));
    return new ForwardReport(
        loads,
        usage.counts(),
        demand,
        prefixLog.drain(),
        learnsRates ? Optional.of(signals()) : Optional.empty(),
        quarantine.report(clock.getAsLong()));
  }

  /** Returns what this router tells the others. */
  private RouterSignals signals() {
    long now = clock.getAsLong();
    waiting.updateMetrics(now);
    return waiting.signals(new RouterSignals(learning.reported(now), Map.of(), Map.of()), now);
  }

  /** Returns what records the speed of a send; empty if rates are not learned. */
  Optional<SendEvidence> evidence(SentRequest sending, boolean resumed) {
    return learning.evidence(sending, resumed);
  }

  /** Records shared prefixes that other routers have sent to upstreams. */
  public void recordRemotePrefixes(List<CachedPrefix> prefixes) {
    long now = clock.getAsLong();
    prefixes.forEach(
        prefix -> selector.recordRemotePrefill(prefix.upstream(), prefix.parts(), now));
  }

  /** Returns the shared prefixes for the next report. */
  CachedPrefixLog prefixLog() {
    return prefixLog;
  }

  /**
   * Sets the wall-clock time that all VMs share; may be called from any thread.
   *
   * @param wallMillis milliseconds since the epoch
   */
  public void timeOfDay(long wallMillis) {
    syncedTime = Optional.of(new SyncedTime(wallMillis, clock.getAsLong()));
  }

  /**
   * Returns the wall-clock time that all VMs share, in milliseconds since the epoch; this VM's own
   * clock until the shared time is set.
   */
  long timeOfDay() {
    return syncedTime
        .map(
            synced ->
                synced.wallMillis() + (clock.getAsLong() - synced.syncedNanos()) / NANOS_PER_MILLI)
        .orElseGet(System::currentTimeMillis);
  }

  /** Returns the metrics of forwarded requests. */
  public ForwardMetrics metrics() {
    return metrics;
  }

  ForwardProtocol protocol() {
    return protocol;
  }

  /** Returns a sink that buffers an answer, which may be given up when memory is short. */
  AnswerSink newBufferedAnswer(Caller caller, Runnable onGivenUp) {
    return new BufferedAnswer(protocol, caller, newAnswerMemory(caller, onGivenUp));
  }

  /** Returns a sink for a stream of events, each of which may be given up when memory is short. */
  AnswerSink newStreamAnswer(
      Caller caller, OptionalLong lastId, Runnable onGivenUp, IntConsumer onEvents) {
    return new EventStreamAnswer(
        protocol, caller, lastId, newAnswerMemory(caller, onGivenUp), onEvents);
  }

  private AnswerMemory.Holding newAnswerMemory(Caller caller, Runnable onGivenUp) {
    return answerMemory.newHolding(SMALL_ANSWER_BYTES, caller.thread(), onGivenUp);
  }

  UpstreamClient client() {
    return client;
  }

  UpstreamNotices notices() {
    return notices;
  }

  UpstreamSelector selector() {
    return selector;
  }

  PromptQuarantine quarantine() {
    return quarantine;
  }

  WindowedUsage usage() {
    return usage;
  }

  RequestJournal journal() {
    return journal;
  }

  /** Returns whether the router learns what upstreams bear, as the deployment doesn't state it. */
  boolean learnsRates() {
    return learnsRates;
  }

  /** Returns whether requests wait in one order over all routers. */
  boolean sharesQueue() {
    return sharesQueue;
  }

  PoolCounters counters(PoolName pool) {
    return countersByPool.computeIfAbsent(pool, name -> new PoolCounters());
  }

  WaitingLines waiting() {
    return waiting;
  }

  QueueDispatcher queues() {
    return queues;
  }

  private boolean hasEngines(PoolName pool) {
    PoolSpec spec = table.map(RouteTable::pools).orElse(Map.of()).get(pool);
    return spec != null && spec.engine().isPresent();
  }

  RetryBudgets retryBudgets() {
    return retryBudgets;
  }

  void register(ForwardExchange exchange) {
    active.add(exchange);
    silenceCheck.schedule();
  }

  /** Retries requests whose upstream is silent; returns whether any request is in progress. */
  private boolean retryRequestsOfSilentUpstreams() {
    long now = clock.getAsLong();
    forEachActive(exchange -> exchange.retryIfSilent(now));
    return !active.isEmpty();
  }

  /** Runs an action for each request in progress; one that fails must not prevent the others. */
  private void forEachActive(Consumer<ForwardExchange> action) {
    for (ForwardExchange exchange : List.copyOf(active)) {
      try {
        action.accept(exchange);
      } catch (RuntimeException e) {
        log.error("request {} failed in the router", exchange.attemptId(), e);
      }
    }
  }

  void unregister(ForwardExchange exchange) {
    active.remove(exchange);
  }

  /** Schedules a poll of the queues because a request has ended. */
  void capacityFreed() {
    queues.pollSoon();
  }
}
