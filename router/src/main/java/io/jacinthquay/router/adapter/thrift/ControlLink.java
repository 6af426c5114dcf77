package io.jacinthquay.router.adapter.thrift;

import io.jacinthquay.decision.cluster.RouterSignals;
import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.decision.dispatch.UpstreamLoad;
import io.jacinthquay.decision.quarantine.PartId;
import io.jacinthquay.decision.quarantine.QuarantinedPart;
import io.jacinthquay.decision.routing.RouteTable;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.routing.RoutingDocument;
import io.jacinthquay.router.port.UpstreamDirectory;
import io.jacinthquay.router.service.forward.CachedPrefix;
import io.jacinthquay.router.service.forward.ForwardCore;
import io.jacinthquay.router.service.forward.ForwardReport;
import io.jacinthquay.runtime.RepeatingTask;
import io.jacinthquay.runtime.Service;
import io.jacinthquay.runtime.settings.SocketAddresses;
import io.jacinthquay.wire.convert.QuarantineMessages;
import io.jacinthquay.wire.convert.SignalMessages;
import io.jacinthquay.wire.convert.UpstreamMessages;
import io.jacinthquay.wire.gen.Control;
import io.jacinthquay.wire.gen.ControlViewMessage;
import io.jacinthquay.wire.gen.CustomerCountMessage;
import io.jacinthquay.wire.gen.PoolDemandMessage;
import io.jacinthquay.wire.gen.RouterReportMessage;
import io.jacinthquay.wire.gen.UpstreamLoadMessage;
import io.jacinthquay.wire.transport.Channel;
import io.jacinthquay.wire.transport.PlainChannel;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TMultiplexedProtocol;

/**
 * Sends reports to the leading control VM and receives views from it, in a thread of its own.
 *
 * <p>It asks the members and the seeds in turn until it finds the leader. Views are applied on the
 * I/O thread. If the leader names a relay in this router's failure domain, the exchange continues
 * with the relay. While it finds no leader, it takes the lists of upstreams of the other control
 * VMs.
 */
public final class ControlLink implements Service {
  private static final Logger log = LogManager.getLogger();

  /** Name of the Thrift service on a control VM's multiplexed port. */
  private static final String SERVICE = "control";

  /**
   * Shortest time between two exchanges, in milliseconds. It is short because requests that other
   * routers sent within it are not known here; the prefill of a long prompt takes six times as
   * long.
   */
  private static final long MIN_EXCHANGE_MILLIS = 50;

  /**
   * Time between two exchanges, in milliseconds per router. It limits the leader's load to about
   * 300 exchanges a second.
   */
  private static final double EXCHANGE_MILLIS_PER_ROUTER = 3.2;

  /**
   * Time between two reports of customers' request counts, in nanoseconds. A router that is killed
   * loses the counts of this time, out of a window of seconds; the counts are half of the bytes of
   * a report.
   */
  private static final long COUNTS_INTERVAL_NANOS = 400_000_000L;

  /**
   * Longest time between two exchanges with a relay, in milliseconds. A relay serves only one
   * failure domain.
   */
  private static final long MAX_RELAY_EXCHANGE_MILLIS = 300;

  /** Time for which a relay that failed is not tried again, in nanoseconds. */
  private static final long AVOID_RELAY_NANOS = 3_000_000_000L;

  /** Delay after an exchange that found no leader, in milliseconds. */
  private static final long SEARCH_DELAY_MILLIS = 60;

  /**
   * Age in milliseconds from which the list of upstreams is not recent: the leader polls each 400
   * ms, and exchanges follow each other faster. Then any control VM is asked for its list, and one
   * that has answered is asked again after each one that has not, whose timeout may take 700 ms.
   */
  private static final long RECENT_LIST_MILLIS = 700;

  /** Number of a list for a VM none of whose lists is held. */
  private static final long NO_LIST = -1;

  /** Number of a list for a VM that is asked for it only if it leads or relays. */
  private static final long LIST_NOT_NEEDED = -2;

  /** Timeouts for connecting to and for reading from a control VM, in milliseconds. */
  private static final int CONNECT_TIMEOUT_MILLIS = 300;

  private static final int READ_TIMEOUT_MILLIS = 700;

  /** Time limit for a task on the I/O thread, in milliseconds. */
  private static final long TASK_TIMEOUT_MILLIS = 5_000;

  private final String router;
  private final DomainId domain;
  private final ForwardCore core;
  private final ControlStreamOrigins origins;
  private final Function<byte[], Either<Failure, RoutingDocument>> decoder;
  private final long incarnation = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
  private final LeaderSearch search;
  private final ControlLinkMonitor monitor;
  private final Optional<ListPoller> poller;
  private final RepeatingTask task =
      new RepeatingTask("control-link", this::exchangeAndWait, this::disconnect);
  private String target;
  private Channel channel;
  private long closedDomainsIndex = -1;
  private long quarantineIndex = -1;
  private volatile int routerCount = 1;
  private boolean viaRelay;
  private long relayAvoidedUntilNanos = System.nanoTime();
  private boolean countsSent;
  private long countsSentNanos;
  private long prefixesNumber;
  private long prefixesTerm = -1;
  private final ListInForce list;

  /** The last control VM that answered and neither leads nor relays; empty if it failed since. */
  private Optional<String> informant = Optional.empty();

  /**
   * Returns a link.
   *
   * @param router the name of this router
   * @param domain the failure domain of this router
   * @param seeds returns the control VMs of the current settings, at least one
   * @param core the core that views are applied to
   * @param origins the streams to report
   * @param decoder decodes documents
   * @param directory the platform's list of upstreams, for times without any control VM
   */
  public ControlLink(
      String router,
      DomainId domain,
      Supplier<List<InetSocketAddress>> seeds,
      ForwardCore core,
      ControlStreamOrigins origins,
      Function<byte[], Either<Failure, RoutingDocument>> decoder,
      Optional<UpstreamDirectory> directory) {
    this.router = router;
    this.domain = domain;
    this.core = core;
    this.origins = origins;
    this.decoder = decoder;
    this.search =
        new LeaderSearch(
            () -> seeds.get().stream().map(SocketAddresses::format).toList(),
            new SplittableRandom());
    this.list = new ListInForce(this::applyListings, origins.versions());
    this.monitor = new ControlLinkMonitor(core.metrics(), list, System::nanoTime);
    this.poller =
        directory.map(
            platform ->
                new ListPoller(platform, list, monitor, () -> routerCount, new SplittableRandom()));
  }

  @Override
  public void start() {
    task.start();
    poller.ifPresent(ListPoller::start);
  }

  @Override
  public void stop() {
    task.stop();
    poller.ifPresent(ListPoller::stop);
  }

  private void exchangeAndWait() throws InterruptedException {
    boolean succeeded = tryExchange();
    TimeUnit.MILLISECONDS.sleep(succeeded ? exchangeMillis() : SEARCH_DELAY_MILLIS);
  }

  /** Exchanges once; nothing that is thrown may end the thread, which nothing would replace. */
  private boolean tryExchange() throws InterruptedException {
    try {
      return exchange();
    } catch (RuntimeException | Error e) {
      log.error("the exchange with the control VMs failed", e);
      leaveTarget();
      target = null;
      return false;
    }
  }

  private long exchangeMillis() {
    long millis = Math.max(MIN_EXCHANGE_MILLIS, (long) (routerCount * EXCHANGE_MILLIS_PER_ROUTER));
    return viaRelay ? Math.min(millis, MAX_RELAY_EXCHANGE_MILLIS) : millis;
  }

  private boolean exchange() throws InterruptedException {
    if (target == null) {
      target = search.next();
    }
    ControlViewMessage view;
    long requestNanos;
    try {
      if (channel == null) {
        channel =
            PlainChannel.open(
                SocketAddresses.parse(target), CONNECT_TIMEOUT_MILLIS, READ_TIMEOUT_MILLIS);
      }
      Control.Client client =
          new Control.Client(new TMultiplexedProtocol(channel.protocol(), SERVICE));
      RouterReportMessage report = report();
      requestNanos = System.nanoTime();
      view = client.exchange(report);
    } catch (IOException | TException e) {
      if (search.recordFailure(target)) {
        log.info("control VM {} is not reachable: {}", target, e.getMessage());
      }
      informant = informant.filter(address -> !address.equals(target));
      searchOn(informant.filter(address -> !isListRecent()));
      return false;
    }
    recordList(view, requestNanos);
    if (view.isLeads() || view.isRelays()) {
      search.recordView(target, view.getMembers());
      origins.recordView(view.getOriginsEpoch());
      origins.controls().recordAnswer(view.getLeader(), search.known());
      origins.controls().recordRouters(view.getRouters());
      list.retain(search.known());
      viaRelay = view.isRelays();
      monitor.recordView(target, view, core.version(), search.known().size());
      apply(view);
      switchToRelay(view);
      return true;
    }
    search.recordAnswer(target, view.getMembers(), view.getLeader());
    origins.controls().recordAnswer(view.getLeader(), search.known());
    informant = Optional.of(target);
    searchOn(Optional.empty());
    return false;
  }

  /** Searches on with a given address, or else with the next one of the search. */
  private void searchOn(Optional<String> address) {
    leaveTarget();
    target = address.orElseGet(search::next);
    monitor.recordSearch(search, core.version());
  }

  private boolean isListRecent() {
    return list.age(System.nanoTime()).toMillis() < RECENT_LIST_MILLIS;
  }

  private void recordList(ControlViewMessage view, long requestNanos) {
    list.record(ListInForce.Answer.of(target, view, requestNanos, System.nanoTime()));
    monitor.recordList();
  }

  private void applyListings(List<UpstreamListing> listings) {
    core.thread().execute(() -> runGuarded(() -> core.updateListings(listings)));
  }

  /** Switches to the relay of this router's failure domain, if the leader names one. */
  private void switchToRelay(ControlViewMessage view) {
    if (view.isSetRelay() && System.nanoTime() - relayAvoidedUntilNanos >= 0) {
      log.info("switching to the relay {} from the leader {}", view.getRelay(), target);
      disconnect();
      target = view.getRelay();
      viaRelay = true;
    }
  }

  private void leaveTarget() {
    if (viaRelay) {
      relayAvoidedUntilNanos = System.nanoTime() + AVOID_RELAY_NANOS;
      viaRelay = false;
      origins.recordRelayLoss();
    }
    disconnect();
  }

  private void disconnect() {
    if (channel != null) {
      channel.close();
      channel = null;
    }
  }

  /** Runs a task on the I/O thread and waits for its result. */
  private <T> T runOnThread(Supplier<T> task) throws InterruptedException {
    CompletableFuture<T> result = new CompletableFuture<>();
    core.thread()
        .execute(
            () -> {
              try {
                result.complete(task.get());
              } catch (RuntimeException e) {
                result.completeExceptionally(e);
              }
            });
    try {
      return result.get(TASK_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException("a task on the I/O thread failed or timed out", e);
    }
  }

  private RouterReportMessage report() throws InterruptedException {
    ForwardReport report = runOnThread(core::report);
    RouterReportMessage message = new RouterReportMessage();
    message.setRouter(router);
    message.setIncarnation(incarnation);
    message.setDomain(domain.value());
    message.setDocumentVersion(core.version());
    message.setClosedIndex(closedDomainsIndex);
    message.setListNumber(
        list.numberFrom(target).orElse(isListRecent() ? LIST_NOT_NEEDED : NO_LIST));
    long wallMillis = System.currentTimeMillis();
    message.setWallMillis(wallMillis);
    message.setQuarantineIndex(quarantineIndex);
    ReportMessages.addEvidence(message, report.quarantine(), wallMillis);
    message.setLeaving(core.isLeaving());
    List<UpstreamLoadMessage> loads = new ArrayList<>();
    report.loads().forEach((id, load) -> loads.add(UpstreamMessages.toMessage(id.value(), load)));
    message.setLoads(loads);
    message.setCounts(counts(report));
    List<PoolDemandMessage> demand = new ArrayList<>();
    report.demand().forEach((pool, d) -> demand.add(ReportMessages.toMessage(pool, d)));
    message.setDemand(demand);
    message.setReads(
        new ArrayList<>(report.prefixes().stream().map(ReportMessages::toMessage).toList()));
    message.setReadsSeen(prefixesNumber);
    message.setReadsTerm(prefixesTerm);
    message.setOrigins(origins.report());
    report.signals().ifPresent(s -> message.setSignals(SignalMessages.toMessage(s)));
    return message;
  }

  private List<CustomerCountMessage> counts(ForwardReport report) {
    List<CustomerCountMessage> counts = new ArrayList<>();
    long now = System.nanoTime();
    if (countsSent && !core.isLeaving() && now - countsSentNanos < COUNTS_INTERVAL_NANOS) {
      return counts;
    }
    countsSent = true;
    countsSentNanos = now;
    report
        .counts()
        .forEach(
            (window, customers) ->
                customers.forEach(
                    (customer, count) ->
                        counts.add(new CustomerCountMessage(window, customer.value(), count))));
    return counts;
  }

  /** Applies a view in a single task on the I/O thread, because each task wakes the thread. */
  private void apply(ControlViewMessage view) {
    List<Runnable> changes = new ArrayList<>();
    if (view.getDocumentVersion() > core.version()) {
      decode(view)
          .peek(table -> changes.add(() -> core.apply(table)))
          .peekLeft(reason -> monitor.recordUnusableDocument(view.getDocumentVersion(), reason));
    }
    core.timeOfDay(view.getWallMillis());
    if (view.isSetClosedDomains() && view.getClosedIndex() > closedDomainsIndex) {
      closedDomainsIndex = view.getClosedIndex();
      Set<DomainId> closed = new HashSet<>();
      view.getClosedDomains().forEach(name -> closed.add(new DomainId(name)));
      changes.add(() -> core.updateClosedDomains(closed));
    }
    if (view.isSetQuarantinedParts() && view.getQuarantineIndex() > quarantineIndex) {
      quarantineIndex = view.getQuarantineIndex();
      List<QuarantinedPart> parts = QuarantineMessages.toParts(view.getQuarantinedParts());
      changes.add(() -> core.updateQuarantinedParts(parts));
    }
    List<PartId> suspects = QuarantineMessages.toIds(view.getSuspectParts());
    List<PartId> trials = QuarantineMessages.toIds(view.getTrialParts());
    changes.add(() -> core.updateSuspectParts(suspects, trials));
    Map<UpstreamId, UpstreamLoad> remoteLoads = new HashMap<>();
    for (UpstreamLoadMessage load : view.getOtherLoads()) {
      remoteLoads.put(new UpstreamId(load.getUpstream()), UpstreamMessages.toLoad(load));
    }
    prefixesNumber = view.getReadsNumber();
    prefixesTerm = view.getReadsTerm();
    List<CachedPrefix> prefixes = view.getReads().stream().map(ReportMessages::toPrefix).toList();
    int count = view.getRouters();
    routerCount = count;
    changes.add(() -> core.recordRemotePrefixes(prefixes));
    RouterSignals signals =
        view.isSetOtherSignals()
            ? SignalMessages.toSignals(view.getOtherSignals())
            : RouterSignals.NONE;
    changes.add(() -> core.updatePeers(count, remoteLoads, signals));
    // A relay may know fewer routers than the leader, and an older control VM states no position.
    int position =
        Math.floorMod(
            view.isSetPosition() ? view.getPosition() : router.hashCode(), Math.max(1, count));
    changes.add(() -> core.updateTurn(position, Math.max(1, count)));
    core.thread().execute(() -> changes.forEach(ControlLink::runGuarded));
  }

  /** Decodes the document of a view; a reason is returned if it has none that is usable. */
  private Either<String, RouteTable> decode(ControlViewMessage view) {
    if (!view.isSetDocument()) {
      return Either.left("the view has no document");
    }
    try {
      return decoder.apply(view.getDocument()).bimap(Failure::detail, RouteTable::new);
    } catch (RuntimeException | StackOverflowError e) {
      return Either.left(e.toString());
    }
  }

  /** Runs a change; one that fails must not prevent the others. */
  private static void runGuarded(Runnable change) {
    try {
      change.run();
    } catch (RuntimeException e) {
      log.error("failed to apply a change from the control VMs", e);
    }
  }
}
