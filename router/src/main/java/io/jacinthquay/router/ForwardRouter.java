package io.jacinthquay.router;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.routing.RoutingDocument;
import io.jacinthquay.router.adapter.http.CallerServer;
import io.jacinthquay.router.adapter.http.ListenerLimits;
import io.jacinthquay.router.adapter.http.ReusePolicy;
import io.jacinthquay.router.adapter.http.UndertowUpstreamClient;
import io.jacinthquay.router.adapter.thrift.ControlLink;
import io.jacinthquay.router.adapter.thrift.ControlStreamOrigins;
import io.jacinthquay.router.port.ForwardProtocol;
import io.jacinthquay.router.port.RequestIntake;
import io.jacinthquay.router.port.UpstreamDirectory;
import io.jacinthquay.router.service.forward.ForwardCore;
import io.jacinthquay.router.service.forward.ForwardIntake;
import io.jacinthquay.router.service.forward.ForwardMetrics;
import io.jacinthquay.router.service.forward.ForwardOptions;
import io.jacinthquay.router.service.report.MemoryWatch;
import io.jacinthquay.router.service.report.MetricsIntake;
import io.jacinthquay.router.service.report.ProcessMemory;
import io.jacinthquay.runtime.Service;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A router that forwards requests as a routing document says.
 *
 * <pre>{@code
 * ForwardRouter router = new ForwardRouter(endpoints, options, protocol, ready, decoder);
 * router.start();
 * }</pre>
 */
public final class ForwardRouter implements Service {
  private static final Logger log = LogManager.getLogger();

  /** Longest time to open a connection to an upstream; failure domains are milliseconds apart. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

  /** Connections that were idle for longer carry no requests that must not run twice. */
  private static final Duration NON_IDEMPOTENT_MAX_IDLE = Duration.ofSeconds(2);

  /**
   * Time between the start of a stop and the rejection of new requests. The load balancer notices
   * the stop by two health checks that are one second apart.
   */
  private static final Duration DRAIN_DELAY = Duration.ofMillis(2_600);

  /** Part of the grace period that is left for final answers to requests still in progress. */
  private static final Duration ANSWER_TIME = Duration.ofMillis(300);

  /** Time between two checks whether requests are in progress. */
  private static final long POLL_MILLIS = 50;

  /** What a router holds, and how many requests end with it. */
  private static final List<String> LOGGED_GAUGES =
      List.of(
          "jq_forward_in_progress",
          "jq_forward_caller_connections",
          "jq_forward_upstream_connections",
          "jq_forward_caller_memory_bytes",
          "jq_forward_unfinished_head_bytes",
          "jq_forward_answer_head_bytes",
          "jq_forward_answer_bytes",
          "jq_forward_caller_buffers",
          "jq_forward_upstream_buffers");

  private final Endpoints endpoints;
  private final UndertowUpstreamClient client;
  private final ForwardCore core;
  private final CallerServer server;
  private final ControlStreamOrigins origins;
  private final ControlLink link;
  private final MemoryWatch memoryWatch;
  private final Function<ForwardCore, RequestIntake> ready;

  /**
   * The addresses that a router listens on and connects to.
   *
   * @param name name of the router
   * @param callers the address that callers connect to
   * @param ready the address of the readiness endpoint
   * @param metrics the address of the metrics endpoint
   * @param control returns the control VMs of the current settings, at least one
   * @param grace longest time from the stop order to the end
   */
  public record Endpoints(
      String name,
      InetSocketAddress callers,
      InetSocketAddress ready,
      InetSocketAddress metrics,
      Supplier<List<InetSocketAddress>> control,
      Duration grace) {}

  /** Returns a router with the default limits on callers that has not started. */
  public ForwardRouter(
      Endpoints endpoints,
      ForwardOptions options,
      ForwardProtocol protocol,
      Function<ForwardCore, RequestIntake> ready,
      Function<byte[], Either<Failure, RoutingDocument>> decoder) {
    this(endpoints, options, ListenerLimits.defaults(), protocol, ready, decoder, Optional.empty());
  }

  /**
   * Returns a router that has not started.
   *
   * @param endpoints the addresses that it listens on and connects to
   * @param options settings of the forwarding
   * @param limits limits on what callers may take
   * @param protocol reads and writes the headers of callers and upstreams
   * @param ready returns the handler of readiness requests
   * @param decoder decodes routing documents
   * @param directory the platform's list of upstreams, for times without any control VM
   */
  public ForwardRouter(
      Endpoints endpoints,
      ForwardOptions options,
      ListenerLimits limits,
      ForwardProtocol protocol,
      Function<ForwardCore, RequestIntake> ready,
      Function<byte[], Either<Failure, RoutingDocument>> decoder,
      Optional<UpstreamDirectory> directory) {
    this.endpoints = endpoints;
    this.ready = ready;
    client =
        new UndertowUpstreamClient(
            CONNECT_TIMEOUT, ReusePolicy.stated(protocol.echoHeader(), NON_IDEMPOTENT_MAX_IDLE));
    core = new ForwardCore(options, protocol, client);
    core.metrics().gauge("jq_forward_upstream_connections", client::openConnections);
    server = new CallerServer(endpoints.callers(), 1, limits, new ForwardIntake(core));
    registerMemory();
    origins = new ControlStreamOrigins(endpoints.control(), core::thread, core.metrics());
    core.streamOrigins(origins);
    memoryWatch = new MemoryWatch(processMemory(), core.metrics().registry(), LOGGED_GAUGES);
    link =
        new ControlLink(
            endpoints.name(),
            options.domain(),
            endpoints.control(),
            core,
            origins,
            decoder,
            directory);
  }

  private void registerMemory() {
    ForwardMetrics metrics = core.metrics();
    metrics.gauge("jq_forward_caller_connections", server::openConnections);
    metrics.gauge("jq_forward_unfinished_head_bytes", server::unfinishedHeadBytes);
    metrics.gauge("jq_forward_connections_given_up_total", server::connectionsGivenUp);
    metrics.gauge("jq_forward_caller_buffers", server::buffersInUse);
    metrics.gauge("jq_forward_upstream_buffers", client::buffersInUse);
    metrics.gauge("jq_forward_answer_head_bytes", client.answerMemory()::heldBytes);
    metrics.gauge("jq_forward_answers_given_up_total", client.answerMemory()::givenUp);
    metrics.gauge("jq_forward_caller_memory_bytes", server::callerMemoryBytes);
    metrics.gauge("jq_forward_slow_callers_given_up_total", server::givenUpForMemory);
    metrics.gauge("jq_forward_unread_answers_closed_total", server::closedForBuffers);
    metrics.gauge("jq_forward_idle_connections_closed_total", server::closedForConnections);
    metrics.gauge("jq_forward_slow_bodies_total", server::slowBodies);
  }

  private ProcessMemory processMemory() {
    ProcessMemory memory = new ProcessMemory();
    ForwardMetrics metrics = core.metrics();
    metrics.gauge("jq_forward_heap_bytes", memory::heapBytes);
    metrics.gauge("jq_forward_direct_bytes", memory::directBytes);
    metrics.gauge("jq_forward_collection_milliseconds_total", memory::collectionMillis);
    metrics.gauge("jq_forward_resident_bytes", memory::residentBytes);
    metrics.gauge("jq_forward_resident_peak_bytes", memory::peakResidentBytes);
    metrics.gauge("jq_forward_threads", memory::threads);
    metrics.gauge("jq_forward_descriptors", memory::descriptors);
    return memory;
  }

  @Override
  public void start() {
    memoryWatch.start();
    server.start();
    core.thread(server.thread());
    core.listening(server::isListening);
    server.addListenAddress(endpoints.ready(), ready.apply(core));
    server.addListenAddress(endpoints.metrics(), new MetricsIntake(core.metrics().registry()));
    origins.start();
    link.start();
    log.info("router {} started for callers at {}", endpoints.name(), endpoints.callers());
  }

  /**
   * Stops after requests in progress have ended or the grace period has passed.
   *
   * <p>A caller whose connection closes while it sends a request can't tell whether the request was
   * read. Idle connections are therefore kept for the drain delay: a request that arrives is
   * answered, and the response announces the close. A request that is read completely only after
   * the drain delay is refused, as it might not end within the grace period.
   */
  @Override
  public void stop() {
    log.info(
        "router {} is stopping with {} requests in progress", endpoints.name(), core.inProgress());
    core.leave();
    server.drain();
    long startNanos = System.nanoTime();
    try {
      awaitEnd(startNanos, DRAIN_DELAY, () -> {}, () -> false);
      core.refuseNewRequests();
      awaitEnd(
          startNanos,
          endpoints.grace().minus(ANSWER_TIME),
          server::closeUsedIdle,
          this::hasNoRequests);
      core.endUnansweredRequests();
      server.stopAccepting();
      // A connection that was accepted just before may still send its request.
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      awaitEnd(
          startNanos,
          endpoints.grace(),
          server::closeIdle,
          () -> hasNoRequests() && server.openConnections() == 0);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    link.stop();
    origins.stop();
    server.stop();
    client.close();
    memoryWatch.stop();
    log.info("router {} stopped with {} requests in progress", endpoints.name(), core.inProgress());
  }

  private boolean hasNoRequests() {
    return core.inProgress() == 0 && server.requestsInProgress() == 0;
  }

  /**
   * Waits until a condition holds, or the given time or the grace period has passed.
   *
   * @param startNanos when the stop began, on the monotonic clock
   * @param time longest time since then
   * @param action run before each check of the condition
   */
  private void awaitEnd(long startNanos, Duration time, Runnable action, BooleanSupplier condition)
      throws InterruptedException {
    long endNanos = startNanos + Math.min(time.toNanos(), endpoints.grace().toNanos());
    boolean done = false;
    while (!done && System.nanoTime() - endNanos < 0) {
      action.run();
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      done = condition.getAsBoolean();
    }
  }
}
