package io.jacinthquay.control;

import com.codahale.metrics.MetricRegistry;
import io.jacinthquay.consensus.LogException;
import io.jacinthquay.consensus.LogOptions;
import io.jacinthquay.consensus.LogStatus;
import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.consensus.ReplicatedLog;
import io.jacinthquay.consensus.Role;
import io.jacinthquay.consensus.raft.ElectionEvent;
import io.jacinthquay.consensus.storage.DataFolder;
import io.jacinthquay.control.adapter.ControlHandler;
import io.jacinthquay.control.port.Fleet;
import io.jacinthquay.control.service.ControlStore;
import io.jacinthquay.control.service.DomainRelay;
import io.jacinthquay.control.service.LeaderClusterView;
import io.jacinthquay.control.service.Leadership;
import io.jacinthquay.control.service.MedianClock;
import io.jacinthquay.control.service.PartQuarantine;
import io.jacinthquay.control.service.PoolScaler;
import io.jacinthquay.control.service.PoolVersionMonitor;
import io.jacinthquay.control.service.RelayClient;
import io.jacinthquay.control.service.RelayDirectory;
import io.jacinthquay.control.service.RemovalDetector;
import io.jacinthquay.control.service.RouterRegistry;
import io.jacinthquay.control.service.SignalsTable;
import io.jacinthquay.control.service.StreamOriginAnswers;
import io.jacinthquay.control.service.StreamOriginsTable;
import io.jacinthquay.control.service.UpstreamListCache;
import io.jacinthquay.control.service.UsageReporter;
import io.jacinthquay.control.state.ControlState;
import io.jacinthquay.decision.dispatch.UpstreamListing;
import io.jacinthquay.keeper.adapter.thrift.ThriftPeerTransport;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.routing.RoutingDocument;
import io.jacinthquay.runtime.ExitCode;
import io.jacinthquay.runtime.Service;
import io.jacinthquay.runtime.settings.SocketAddresses;
import io.jacinthquay.runtime.time.ClockReading;
import io.jacinthquay.wire.gen.Control;
import io.jacinthquay.wire.transport.PlainChannel;
import io.jacinthquay.wire.transport.PlainServer;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.thrift.TMultiplexedProcessor;

/** A control VM: its replica of the log, the service for routers and the tasks of the leader. */
public final class ControlService implements Service {
  /** Name of the Thrift service for routers, which shares the one port of a control VM. */
  public static final String SERVICE_NAME = "control";

  private static final Logger log = LogManager.getLogger();

  /** Delay between two confirmations of leadership, in milliseconds. */
  private static final int CONFIRM_INTERVAL_MILLIS = 150;

  /** Delay between two polls of the platform's list of upstreams, in milliseconds. */
  private static final int LIST_INTERVAL_MILLIS = 400;

  /**
   * Age in nanoseconds at which a VM that doesn't lead polls the list again, so that it has a
   * recent list when it becomes the leader. While nobody leads, or routers ask this VM for the list
   * since they find no leader, it polls as often as the leader does, as far as the platform allows.
   */
  private static final long STANDBY_LIST_AGE_NANOS = 2_000_000_000L;

  /** Bound on the random number before the first list, far below an overflow. */
  private static final long MAX_NUMBER_BEFORE_LISTS = 1L << 62;

  /** Delay between two calls of the relay to the leader, in milliseconds. */
  private static final int RELAY_INTERVAL_MILLIS = 100;

  /** One thread for each periodic task, as some block while they wait for another VM. */
  private static final int TASK_THREADS = 7;

  /** Delay between two runs of the leader's tasks, in milliseconds. */
  private static final int LEADER_TASKS_INTERVAL_MILLIS = 500;

  /** Delay between two checks whether this replica was removed, in milliseconds. */
  private static final int REMOVAL_CHECK_INTERVAL_MILLIS = 1_000;

  /** Timeout for connecting to another member, in milliseconds. */
  private static final int CONNECT_TIMEOUT_MILLIS = 400;

  /** Timeout for a read from another member, in milliseconds. */
  private static final int READ_TIMEOUT_MILLIS = 800;

  /** Six heartbeats: members are milliseconds apart, and nothing is decided during an election. */
  private static final Duration ELECTION_TIMEOUT = Duration.ofMillis(600);

  private static final int SNAPSHOT_EVERY_ENTRIES = 400;
  private static final int RETAINED_ENTRIES = 100;
  private static final int SEGMENT_BYTES = 2 << 20;
  private static final int MAX_COMMAND_BYTES = 8 << 20;

  private final ControlOptions options;
  private final ThriftPeerTransport transport;
  private volatile ReplicatedLog replicatedLog;
  private final RemovalDetector removalDetector;
  private final ControlStore store;
  private final Leadership leadership;
  private final RouterRegistry routers = new RouterRegistry(System::nanoTime);
  private final MedianClock medianClock =
      new MedianClock(System::nanoTime, System::currentTimeMillis);
  private final SignalsTable signals = new SignalsTable(System::nanoTime);
  private final UpstreamListCache upstreamList =
      new UpstreamListCache(ThreadLocalRandom.current().nextLong(MAX_NUMBER_BEFORE_LISTS));
  private final PartQuarantine quarantine;
  private final StreamOriginsTable origins;
  private final PoolVersionMonitor poolVersions;
  private final StreamOriginAnswers originAnswers;
  private final Fleet fleet;
  private final RelayClient relayClient;
  private final Optional<UsageReporter> usageReporter;
  private final PoolScaler poolScaler;
  private final PlainServer server;
  private final DataFolder data;
  private ScheduledExecutorService scheduler;
  private boolean rejoining;

  /**
   * Returns a control VM.
   *
   * @param options settings of the VM
   * @param fleet the platform that runs the upstreams
   * @param decoder decodes the documents of operators
   */
  public ControlService(
      ControlOptions options,
      Fleet fleet,
      Function<byte[], Either<Failure, RoutingDocument>> decoder) {
    this.options = options;
    this.fleet = fleet;
    data = new DataFolder(options.folder());
    ControlState state = new ControlState();
    transport =
        ThriftPeerTransport.withResolver(
            address -> PlainChannel.open(address, CONNECT_TIMEOUT_MILLIS, READ_TIMEOUT_MILLIS),
            name -> Optional.of(SocketAddresses.parse(name)));
    replicatedLog = newLog(state);
    store = new ControlStore(replicatedLog, state, options.voters());
    removalDetector = new RemovalDetector(SERVICE_NAME, seeds());
    leadership = new Leadership(options.name(), options.dutyHold(), ClockReading::now);
    usageReporter =
        options.usageWindow().map(window -> new UsageReporter(window, store, routers, fleet));
    poolScaler =
        new PoolScaler(
            store, routers, signals, upstreamList, fleet, decoder, options.learnsRates());
    quarantine = new PartQuarantine(store, System::nanoTime, medianClock::wallMillis);
    origins = new StreamOriginsTable(System::nanoTime, () -> store.status().term());
    poolVersions =
        new PoolVersionMonitor(store, upstreamList, System::nanoTime, medianClock::wallMillis);
    originAnswers = new StreamOriginAnswers(leadership, origins, poolVersions);
    DomainRelay relay =
        new DomainRelay(
            member(options.listen()).value(),
            options.domain().value(),
            store,
            upstreamList,
            System::nanoTime);
    relayClient = new RelayClient(SERVICE_NAME, relay, System::nanoTime);
    ControlHandler handler =
        new ControlHandler(
            store,
            leadership,
            new LeaderClusterView(store, routers, signals, medianClock, quarantine, origins),
            relay,
            new RelayDirectory(System::nanoTime),
            upstreamList,
            originAnswers);
    TMultiplexedProcessor processor = new TMultiplexedProcessor();
    processor.registerProcessor(SERVICE_NAME, new Control.Processor<>(handler));
    processor.registerDefault(transport.unauthenticatedProcessor());
    server = new PlainServer(options.bind(), processor);
  }

  private static MemberId member(InetSocketAddress address) {
    return new MemberId(SocketAddresses.format(address));
  }

  private Set<MemberId> seeds() {
    return options.seeds().stream().map(ControlService::member).collect(Collectors.toSet());
  }

  private ReplicatedLog newLog(ControlState state) {
    LogOptions defaults = LogOptions.DEFAULT;
    return ReplicatedLog.builder()
        .member(member(options.listen()))
        .seeds(seeds())
        .folder(options.folder())
        .transport(transport)
        .stateMachine(state)
        .onFatal(this::endProcess)
        .beforeOpening(data::finishErasure)
        .options(
            new LogOptions(
                defaults.heartbeatInterval(),
                ELECTION_TIMEOUT,
                Duration.ofSeconds(3),
                SNAPSHOT_EVERY_ENTRIES,
                RETAINED_ENTRIES,
                SEGMENT_BYTES,
                MAX_COMMAND_BYTES,
                true,
                options.voters()))
        .build();
  }

  /** Registers the metrics of this VM; docs/METRICS.md lists them. */
  public void register(MetricRegistry registry) {
    registry.gauge("jq_control_leads", () -> () -> leadership.isConfirmed() ? 1 : 0);
    registry.gauge("jq_control_term", () -> () -> store.status().term());
    registry.gauge(
        "jq_control_storage_failed", () -> () -> store.status().role() == Role.FAILED ? 1 : 0);
    registry.gauge("jq_control_commit_index", () -> () -> store.status().commitIndex());
    registry.gauge("jq_control_voters", () -> () -> store.status().membership().voters().size());
    registry.gauge("jq_control_votes", () -> () -> isVoter(store.status()) ? 1 : 0);
    for (ElectionEvent.Kind kind : ElectionEvent.Kind.values()) {
      registry.gauge(
          "jq_control_election_events_total{kind=\"" + kind.label() + "\"}",
          () -> () -> replicatedLog.electionCounts().get(kind));
    }
    registry.gauge("jq_control_document_version", () -> () -> store.tables().version());
    registry.gauge(
        "jq_control_quarantined_parts", () -> () -> store.tables().quarantine().parts().size());
    registry.gauge("jq_control_suspect_parts", () -> () -> quarantine.suspects().size());
    registry.gauge("jq_control_incomplete_messages_closed_total", () -> server::closedConnections);
    registry.gauge("jq_control_routers", () -> routers::count);
    registry.gauge("jq_control_upstreams", () -> () -> upstreamList.snapshot().listings().size());
    poolScaler.register(registry);
    origins.register(registry);
    poolVersions.register(registry);
    originAnswers.register(registry);
  }

  private static boolean isVoter(LogStatus status) {
    return status.membership().voters().contains(status.self());
  }

  /** Returns the store of the replicated state. */
  public ControlStore store() {
    return store;
  }

  @Override
  public void start() {
    server.start();
    try {
      replicatedLog.start();
    } catch (LogException e) {
      server.stop();
      throw new IllegalStateException(e.getMessage(), e);
    } catch (RuntimeException | Error e) {
      server.stop();
      throw e;
    }
    scheduler = Executors.newScheduledThreadPool(TASK_THREADS);
    schedule(CONFIRM_INTERVAL_MILLIS, this::confirmLeadership);
    schedule(LIST_INTERVAL_MILLIS, this::pollUpstreamList);
    schedule(RELAY_INTERVAL_MILLIS, relayClient::run);
    schedule(CONFIRM_INTERVAL_MILLIS, this::confirmQuarantine);
    schedule(LIST_INTERVAL_MILLIS, poolVersions::observe);
    schedule(LEADER_TASKS_INTERVAL_MILLIS, this::runLeaderTasks);
    schedule(REMOVAL_CHECK_INTERVAL_MILLIS, this::rejoinIfRemoved);
    log.info("control VM {} started with seeds {}", options.name(), options.seeds());
  }

  private void schedule(int millis, Runnable task) {
    var unused =
        scheduler.scheduleWithFixedDelay(
            () -> runGuarded(task), millis, millis, TimeUnit.MILLISECONDS);
  }

  /** Logs what a task throws, since the scheduler never runs a task again that has thrown. */
  private static void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (Throwable e) {
      log.error("periodic task of the control VM failed", e);
    }
  }

  private void confirmLeadership() {
    LogStatus before = replicatedLog.status();
    if (!before.isLeader()) {
      leadership.recordLoss();
      return;
    }
    ClockReading requestTime = ClockReading.now();
    var unused =
        store
            .read()
            .thenAccept(
                result -> {
                  LogStatus after = replicatedLog.status();
                  if (result.isRight() && after.isLeader() && after.term() == before.term()) {
                    leadership.recordConfirmation(before, requestTime);
                  }
                });
  }

  /**
   * Deletes the data of a replica that was removed and rejoins as a new replica; nothing that the
   * removed one promised counts any more. If the disk fails or hangs, the next run tries again.
   */
  private void rejoinIfRemoved() {
    if (!rejoining && !removalDetector.isRemoved(replicatedLog.status())) {
      return;
    }
    log.warn(
        "replica {} was removed; deleting its data and rejoining as a new replica",
        replicatedLog.status().self());
    rejoining = true;
    if (!replicatedLog.stop()) {
      return;
    }
    try {
      data.erase();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    ControlState state = new ControlState();
    replicatedLog = newLog(state);
    store.replace(replicatedLog, state);
    replicatedLog.start();
    rejoining = false;
  }

  /** Ends the process, so that it is started again; doesn't wait for its end. */
  private void endProcess(Throwable cause) {
    log.fatal("control VM {} can't go on and ends its process", options.name(), cause);
    new Thread(() -> System.exit(ExitCode.FAILURE.number()), "end-process").start();
  }

  private void pollUpstreamList() {
    long requestTime = System.nanoTime();
    UpstreamListCache.Snapshot held = upstreamList.snapshot();
    boolean recent = requestTime - held.polledNanos() < standbyListAgeNanos(requestTime, held);
    if (!leadership.isConfirmed() && held.number() > 0 && recent) {
      return;
    }
    fleet
        .listUpstreams()
        .peek(list -> applyList(list, requestTime))
        .peekLeft(
            failure ->
                log.warn("could not read the platform's list of upstreams: {}", failure.detail()));
  }

  private void applyList(List<UpstreamListing> list, long requestTime) {
    upstreamList.update(list, requestTime, requestTime);
    if (leadership.isConfirmed()) {
      poolVersions.propose();
    }
  }

  /** Returns the age at which a VM that doesn't lead polls the list again, in nanoseconds. */
  private long standbyListAgeNanos(long now, UpstreamListCache.Snapshot held) {
    if (store.leader().isPresent() && !upstreamList.isSearched(now)) {
      return STANDBY_LIST_AGE_NANOS;
    }
    int members = store.status().membership().replicas().size();
    return Math.min(
        STANDBY_LIST_AGE_NANOS, fleet.leastListInterval(members, held.listings().size()).toNanos());
  }

  private void runLeaderTasks() {
    leadership
        .lease()
        .ifPresent(
            lease -> {
              usageReporter.ifPresent(reporter -> reporter.run(lease, medianClock.wallMillis()));
              poolScaler.run(lease, System.nanoTime());
            });
  }

  private void confirmQuarantine() {
    if (leadership.isConfirmed()) {
      quarantine.confirm();
    }
  }

  @Override
  public void stop() {
    if (scheduler != null) {
      scheduler.shutdownNow();
      relayClient.close();
      replicatedLog.stop();
      server.stop();
    }
    log.info("control VM {} stopped", options.name());
  }
}
