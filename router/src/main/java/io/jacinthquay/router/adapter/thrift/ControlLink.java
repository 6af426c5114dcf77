package io.jacinthquay.router.adapter.thrift;

import io.jacinthquay.decision.dispatch.PromptPart;
import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.decision.dispatch.UpstreamLoad;
import io.jacinthquay.decision.routing.RouteTable;
import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.UpstreamId;
import io.jacinthquay.model.routing.RoutingDocument;
import io.jacinthquay.router.service.forward.CachedPrefix;
import io.jacinthquay.router.service.forward.ForwardCore;
import io.jacinthquay.router.service.forward.ForwardReport;
import io.jacinthquay.runtime.Service;
import io.jacinthquay.runtime.settings.SocketAddresses;
import io.jacinthquay.wire.convert.UpstreamMessages;
import io.jacinthquay.wire.gen.Control;
import io.jacinthquay.wire.gen.ControlViewMessage;
import io.jacinthquay.wire.gen.CustomerCountMessage;
import io.jacinthquay.wire.gen.PoolDemandMessage;
import io.jacinthquay.wire.gen.PrefixReadMessage;
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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
 * Exchanges reports for views with the control VM that leads, in a thread of its own.
 *
 * <p>It asks the members in turn until one leads. What it learns is applied on the I/O thread.
 */
public final class ControlLink implements Service {
  private static final Logger log = LogManager.getLogger();

  /** Name of the service within the one port of a control VM. */
  private static final String SERVICE = "control";

  /**
   * Shortest time between two exchanges: what others sent within it is not known, and a long prompt
   * takes an engine six times as long to read.
   */
  private static final long EXCHANGE_MILLIS = 50;

  /** Time between two exchanges for each router, so that the leader bears 300 a second. */
  private static final double MILLIS_PER_ROUTER = 3.2;

  /**
   * Time between two reports of the requests that began: a router that is killed loses this much of
   * a window of seconds, and the counts are half of the bytes of a report.
   */
  private static final long COUNTS_NANOS = 400_000_000L;

  /** Longest time between two exchanges with a relay, which serves one failure domain alone. */
  private static final long RELAYED_MILLIS = 300;

  /** Time for which a relay that didn't serve is not asked again, in nanoseconds. */
  private static final long AVOID_RELAY_NANOS = 3_000_000_000L;

  /** Pause after an exchange that found no leader. */
  private static final long SEARCH_MILLIS = 60;

  /** Limits for connecting to and hearing from a control VM. */
  private static final int CONNECT_MILLIS = 300;

  private static final int READ_MILLIS = 700;

  /** Limit for the I/O thread to take in a view. */
  private static final long APPLY_MILLIS = 5_000;

  private final String router;
  private final DomainId domain;
  private final ForwardCore core;
  private final Function<byte[], Either<Failure, RoutingDocument>> decoder;
  private final long incarnation = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
  private final Set<String> members = new LinkedHashSet<>();
  private final Thread thread = new Thread(this::run, "control-link");
  private String target;
  private Channel channel;
  private long closedIndex = -1;
  private long listNumber = -1;
  private int routers = 1;
  private boolean relayed;
  private long relayAvoidedUntil = System.nanoTime();
  private boolean countsSent;
  private long countsSentAt;
  private long readsSeen;
  private long readsTerm = -1;
  private String listSource = "";
  private volatile boolean running;

  /**
   * Returns a link.
   *
   * @param router name of this router
   * @param domain its failure domain
   * @param seeds control VMs that are known at the start
   * @param core takes what is learned
   * @param decoder reads documents
   */
  public ControlLink(
      String router,
      DomainId domain,
      List<InetSocketAddress> seeds,
      ForwardCore core,
      Function<byte[], Either<Failure, RoutingDocument>> decoder) {
    this.router = router;
    this.domain = domain;
    this.core = core;
    this.decoder = decoder;
    seeds.forEach(seed -> members.add(SocketAddresses.format(seed)));
    thread.setDaemon(true);
  }

  @Override
  public void start() {
    running = true;
    thread.start();
  }

  @Override
  public void stop() {
    running = false;
    thread.interrupt();
  }

  private void run() {
    while (running) {
      try {
        boolean led = exchange();
        TimeUnit.MILLISECONDS.sleep(led ? exchangeMillis() : SEARCH_MILLIS);
      } catch (InterruptedException e) {
        break;
      } catch (RuntimeException e) {
        log.error("an exchange with the control VMs failed", e);
        disconnect();
      }
    }
    disconnect();
  }

  private long exchangeMillis() {
    long millis = Math.max(EXCHANGE_MILLIS, (long) (routers * MILLIS_PER_ROUTER));
    return relayed ? Math.min(millis, RELAYED_MILLIS) : millis;
  }

  private boolean exchange() throws InterruptedException {
    if (target == null) {
      target = next("");
    }
    ControlViewMessage view;
    try {
      if (channel == null) {
        channel = PlainChannel.open(SocketAddresses.parse(target), CONNECT_MILLIS, READ_MILLIS);
      }
      Control.Client client =
          new Control.Client(new TMultiplexedProtocol(channel.protocol(), SERVICE));
      view = client.exchange(report());
    } catch (IOException | TException e) {
      log.info("control VM {} is not reachable: {}", target, e.getMessage());
      leave();
      target = next(target);
      return false;
    }
    members.addAll(view.getMembers());
    if (view.isLeads() || view.isRelays()) {
      members.retainAll(view.getMembers());
      relayed = view.isRelays();
      apply(view);
      follow(view);
      return true;
    }
    leave();
    target =
        !view.getLeader().isEmpty() && !view.getLeader().equals(target)
            ? view.getLeader()
            : next(target);
    return false;
  }

  /** Goes on with the relay of the own failure domain, if the leader names one. */
  private void follow(ControlViewMessage view) {
    if (view.isSetRelay() && System.nanoTime() - relayAvoidedUntil >= 0) {
      log.info("asks the relay {} in place of the leader {}", view.getRelay(), target);
      disconnect();
      target = view.getRelay();
      relayed = true;
    }
  }

  private void leave() {
    if (relayed) {
      relayAvoidedUntil = System.nanoTime() + AVOID_RELAY_NANOS;
      relayed = false;
    }
    disconnect();
  }

  private String next(String after) {
    List<String> all = new ArrayList<>(members);
    int at = after.isEmpty() ? ThreadLocalRandom.current().nextInt(all.size()) : all.indexOf(after);
    return all.get((at + 1) % all.size());
  }

  private void disconnect() {
    if (channel != null) {
      channel.close();
      channel = null;
    }
  }

  /** Runs a task on the I/O thread and waits for its result. */
  private <T> T onThread(Supplier<T> task) throws InterruptedException {
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
      return result.get(APPLY_MILLIS, TimeUnit.MILLISECONDS);
    } catch (ExecutionException | TimeoutException e) {
      throw new IllegalStateException("the I/O thread did not take a task", e);
    }
  }

  private RouterReportMessage report() throws InterruptedException {
    ForwardReport report = onThread(core::report);
    RouterReportMessage message = new RouterReportMessage();
    message.setRouter(router);
    message.setIncarnation(incarnation);
    message.setDomain(domain.value());
    message.setDocumentVersion(core.version());
    message.setClosedIndex(closedIndex);
    message.setListNumber(target.equals(listSource) ? listNumber : -1);
    message.setWallMillis(System.currentTimeMillis());
    message.setLeaving(core.isLeaving());
    List<UpstreamLoadMessage> loads = new ArrayList<>();
    report.loads().forEach((id, load) -> loads.add(UpstreamMessages.toMessage(id.value(), load)));
    message.setLoads(loads);
    message.setCounts(counts(report));
    List<PoolDemandMessage> demand = new ArrayList<>();
    report.demand().forEach((pool, d) -> demand.add(toMessage(pool, d)));
    message.setDemand(demand);
    message.setReads(new ArrayList<>(report.reads().stream().map(ControlLink::toMessage).toList()));
    message.setReadsSeen(readsSeen);
    message.setReadsTerm(readsTerm);
    return message;
  }

  private List<CustomerCountMessage> counts(ForwardReport report) {
    List<CustomerCountMessage> counts = new ArrayList<>();
    long now = System.nanoTime();
    if (countsSent && !core.isLeaving() && now - countsSentAt < COUNTS_NANOS) {
      return counts;
    }
    countsSent = true;
    countsSentAt = now;
    report
        .counts()
        .forEach(
            (window, customers) ->
                customers.forEach(
                    (customer, count) ->
                        counts.add(new CustomerCountMessage(window, customer.value(), count))));
    return counts;
  }

  private static PrefixReadMessage toMessage(CachedPrefix read) {
    return new PrefixReadMessage(
        read.upstream().value(),
        new ArrayList<>(read.parts().stream().map(PromptPart::id).toList()),
        new ArrayList<>(read.parts().stream().map(PromptPart::tokens).toList()));
  }

  private static CachedPrefix read(PrefixReadMessage message) {
    List<PromptPart> parts = new ArrayList<>();
    for (int i = 0; i < message.getPartsSize() && i < message.getTokensSize(); i++) {
      parts.add(new PromptPart(message.getParts().get(i), message.getTokens().get(i)));
    }
    return new CachedPrefix(new UpstreamId(message.getUpstream()), parts);
  }

  private static PoolDemandMessage toMessage(PoolName pool, ForwardReport.PoolDemand demand) {
    return new PoolDemandMessage(
        pool.value(),
        demand.requests(),
        demand.promptTokens(),
        demand.outputTokens(),
        demand.refused(),
        demand.waiting(),
        demand.late());
  }

  /** Hands all of a view to the I/O thread at once, since each task wakes it. */
  private void apply(ControlViewMessage view) {
    List<Runnable> changes = new ArrayList<>();
    if (view.isSetDocument() && view.getDocumentVersion() > core.version()) {
      decoder
          .apply(view.getDocument())
          .peek(document -> changes.add(() -> core.apply(new RouteTable(document))))
          .peekLeft(failure -> log.error("a stored document can't be read: {}", failure.detail()));
    }
    core.timeOfDay(view.getWallMillis());
    if (view.isSetClosedDomains() && view.getClosedIndex() > closedIndex) {
      closedIndex = view.getClosedIndex();
      Set<DomainId> closed = new HashSet<>();
      view.getClosedDomains().forEach(name -> closed.add(new DomainId(name)));
      changes.add(() -> core.updateClosedDomains(closed));
    }
    if (view.isSetUpstreams()) {
      listNumber = view.getListNumber();
      listSource = target;
      List<UpstreamListing> listings =
          view.getUpstreams().getUpstreams().stream().map(UpstreamMessages::listing).toList();
      changes.add(() -> core.updateListings(listings));
    }
    Map<UpstreamId, UpstreamLoad> others = new HashMap<>();
    for (UpstreamLoadMessage load : view.getOtherLoads()) {
      others.put(new UpstreamId(load.getUpstream()), UpstreamMessages.load(load));
    }
    readsSeen = view.getReadsNumber();
    readsTerm = view.getReadsTerm();
    List<CachedPrefix> reads = view.getReads().stream().map(ControlLink::read).toList();
    int count = view.getRouters();
    routers = count;
    changes.add(() -> core.recordRemotePrefixes(reads));
    changes.add(() -> core.updatePeers(count, others));
    core.thread().execute(() -> changes.forEach(ControlLink::runGuarded));
  }

  /** One change that fails must not keep the others out. */
  private static void runGuarded(Runnable change) {
    try {
      change.run();
    } catch (RuntimeException e) {
      log.error("a change of the control VMs was not taken in", e);
    }
  }
}
