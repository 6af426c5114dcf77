package io.jacinthquay.control;

import com.codahale.metrics.MetricRegistry;
import io.jacinthquay.consensus.LogException;
import io.jacinthquay.consensus.LogOptions;
import io.jacinthquay.consensus.LogStatus;
import io.jacinthquay.consensus.MemberId;
import io.jacinthquay.consensus.ReplicatedLog;
import io.jacinthquay.control.adapter.ControlHandler;
import io.jacinthquay.control.port.Fleet;
import io.jacinthquay.control.service.ControlStore;
import io.jacinthquay.control.service.DomainRelay;
import io.jacinthquay.control.service.LeaderKnowledge;
import io.jacinthquay.control.service.Leadership;
import io.jacinthquay.control.service.RelayCalls;
import io.jacinthquay.control.service.RelayDirectory;
import io.jacinthquay.control.service.RemovalWatch;
import io.jacinthquay.control.service.RouterRegistry;
import io.jacinthquay.control.service.ScalingDuty;
import io.jacinthquay.control.service.SharedTime;
import io.jacinthquay.control.service.UpstreamFeed;
import io.jacinthquay.control.service.UsageDuty;
import io.jacinthquay.control.state.ControlState;
import io.jacinthquay.keeper.adapter.thrift.ThriftPeerTransport;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.routing.RoutingDocument;
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
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.thrift.TMultiplexedProcessor;

/** One control VM: its part of the replicated log, the feed to routers, and the leader's duties. */
public final class ControlService implements Service {
  /** Name of the service that routers call, within the one port of a control VM. */
  public static final String ROUTERS = "control";

  private static final Logger log = LogManager.getLogger();

  /** Time between two confirmations of leadership, in milliseconds. */
  private static final int CONFIRM_MILLIS = 150;

  /** Time between two readings of the platform's list, in milliseconds. */
  private static final int LIST_MILLIS = 400;

  /** Age of the list at a VM that doesn't lead, so that it has one when it comes to lead. */
  private static final long STANDBY_LIST_NANOS = 2_000_000_000L;

  /** Time between two calls of a relay to the leader, in milliseconds. */
  private static final int RELAY_MILLIS = 100;

  /** Threads for the regular tasks; some wait for another VM. */
  private static final int TASK_THREADS = 3;

  /** Time between two looks at the duties, in milliseconds. */
  private static final int DUTY_MILLIS = 500;

  /** Time between two looks whether this replica was removed, in milliseconds. */
  private static final int REMOVAL_MILLIS = 1_000;

  /** Limits for connecting to and hearing from another member, in milliseconds. */
  private static final int CONNECT_MILLIS = 400;

  private static final int READ_MILLIS = 800;

  /** Six heartbeats; the members are milliseconds apart, and nothing is decided meanwhile. */
  private static final Duration ELECTION_TIMEOUT = Duration.ofMillis(600);

  private static final int SNAPSHOT_EVERY_ENTRIES = 400;
  private static final int RETAINED_ENTRIES = 100;
  private static final int SEGMENT_BYTES = 2 << 20;
  private static final int MAX_COMMAND_BYTES = 8 << 20;

  private final ControlOptions options;
  private final ThriftPeerTransport transport;
  private volatile ReplicatedLog replicatedLog;
  private final RemovalWatch removal;
  private final ControlStore store;
  private final Leadership leadership;
  private final RouterRegistry routers = new RouterRegistry(System::nanoTime);
  private final SharedTime time = new SharedTime(System::nanoTime, System::currentTimeMillis);
  private final UpstreamFeed feed = new UpstreamFeed();
  private final Fleet fleet;
  private final RelayCalls relayCalls;
  private final UsageDuty usage;
  private final ScalingDuty scaling;
  private final PlainServer server;
  private ScheduledExecutorService scheduler;

  /**
   * Returns a control VM.
   *
   * @param options its settings
   * @param fleet the platform below
   * @param decoder reads documents
   */
  public ControlService(
      ControlOptions options,
      Fleet fleet,
      Function<byte[], Either<Failure, RoutingDocument>> decoder) {
    this.options = options;
    this.fleet = fleet;
    ControlState state = new ControlState();
    transport =
        ThriftPeerTransport.resolving(
            address -> PlainChannel.open(address, CONNECT_MILLIS, READ_MILLIS),
            name -> Optional.of(SocketAddresses.parse(name)));
    replicatedLog = newLog(state);
    store = new ControlStore(replicatedLog, state, options.voters());
    removal = new RemovalWatch(ROUTERS, seeds());
    leadership = new Leadership(options.name(), options.dutyHold(), ClockReading::now);
    usage = new UsageDuty(options.usageWindow(), store, routers, fleet);
    scaling = new ScalingDuty(store, routers, feed, fleet, decoder);
    DomainRelay relay =
        new DomainRelay(
            member(options.listen()).value(),
            options.domain().value(),
            store,
            feed,
            System::nanoTime);
    relayCalls = new RelayCalls(ROUTERS, relay, System::nanoTime);
    ControlHandler handler =
        new ControlHandler(
            store,
            leadership,
            new LeaderKnowledge(store, routers, time),
            relay,
            new RelayDirectory(System::nanoTime),
            feed);
    TMultiplexedProcessor processor = new TMultiplexedProcessor();
    processor.registerProcessor(ROUTERS, new Control.Processor<>(handler));
    processor.registerDefault(transport.openProcessor());
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

  /** Registers what operators watch; docs/METRICS.md lists it. */
  public void register(MetricRegistry registry) {
    registry.gauge("jq_control_leads", () -> () -> leadership.isConfirmed() ? 1 : 0);
    registry.gauge("jq_control_term", () -> () -> store.status().term());
    registry.gauge("jq_control_commit_index", () -> () -> store.status().commitIndex());
    registry.gauge("jq_control_voters", () -> () -> store.status().membership().voters().size());
    registry.gauge("jq_control_document_version", () -> () -> store.tables().version());
    registry.gauge("jq_control_routers", () -> routers::count);
    registry.gauge("jq_control_upstreams", () -> () -> feed.reading().listings().size());
  }

  /** Returns the replicated state. */
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
    }
    scheduler = Executors.newScheduledThreadPool(TASK_THREADS);
    every(CONFIRM_MILLIS, this::confirm);
    every(LIST_MILLIS, this::readList);
    every(RELAY_MILLIS, relayCalls::run);
    every(DUTY_MILLIS, this::actForAll);
    every(REMOVAL_MILLIS, this::beginAnewIfRemoved);
    log.info("control VM {} started with seeds {}", options.name(), options.seeds());
  }

  private void every(int millis, Runnable task) {
    var unused =
        scheduler.scheduleWithFixedDelay(
            () -> runGuarded(task), millis, millis, TimeUnit.MILLISECONDS);
  }

  /** A task that throws would never run again. */
  private static void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      log.error("a task of the control VM failed", e);
    }
  }

  private void confirm() {
    LogStatus before = replicatedLog.status();
    if (!before.isLeader()) {
      leadership.lost();
      return;
    }
    ClockReading asked = ClockReading.now();
    var unused =
        store
            .read()
            .thenAccept(
                answer -> {
                  LogStatus after = replicatedLog.status();
                  if (answer.isRight() && after.isLeader() && after.term() == before.term()) {
                    leadership.confirmed(before, asked);
                  }
                });
  }

  /** A replica that was removed has promised nothing that counts; it comes back as a new one. */
  private void beginAnewIfRemoved() {
    if (!removal.isRemoved(replicatedLog.status())) {
      return;
    }
    log.warn("replica {} was removed and begins anew", replicatedLog.status().self());
    replicatedLog.stop();
    try (Stream<Path> files = Files.walk(options.folder())) {
      List<Path> all = files.sorted(Comparator.reverseOrder()).toList();
      for (Path file : all) {
        if (!file.equals(options.folder())) {
          Files.delete(file);
        }
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    ControlState state = new ControlState();
    replicatedLog = newLog(state);
    store.replace(replicatedLog, state);
    replicatedLog.start();
  }

  private void readList() {
    long asked = System.nanoTime();
    boolean fresh = asked - feed.reading().readNanos() < STANDBY_LIST_NANOS;
    if (!leadership.isConfirmed() && feed.reading().number() > 0 && fresh) {
      return;
    }
    fleet
        .list()
        .peek(list -> feed.read(list, asked, asked))
        .peekLeft(failure -> log.warn("the list was not read: {}", failure.detail()));
  }

  private void actForAll() {
    leadership
        .fence()
        .ifPresent(
            fence -> {
              usage.run(fence, time.millis());
              scaling.run(fence, System.nanoTime());
            });
  }

  @Override
  public void stop() {
    if (scheduler != null) {
      scheduler.shutdownNow();
      relayCalls.close();
      replicatedLog.stop();
      server.stop();
    }
    log.info("control VM {} stopped", options.name());
  }
}
