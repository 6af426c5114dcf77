package io.jacinthquay.router;

import io.jacinthquay.model.Failure;
import io.jacinthquay.model.routing.RoutingDocument;
import io.jacinthquay.router.adapter.http.CallerServer;
import io.jacinthquay.router.adapter.http.ListenerLimits;
import io.jacinthquay.router.adapter.http.ReusePolicy;
import io.jacinthquay.router.adapter.http.UndertowUpstreamClient;
import io.jacinthquay.router.adapter.thrift.ControlLink;
import io.jacinthquay.router.port.ForwardProtocol;
import io.jacinthquay.router.port.RequestIntake;
import io.jacinthquay.router.service.forward.ForwardCore;
import io.jacinthquay.router.service.forward.ForwardIntake;
import io.jacinthquay.router.service.forward.ForwardOptions;
import io.jacinthquay.router.service.report.MetricsIntake;
import io.jacinthquay.runtime.Service;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * A router that forwards requests by a routing document.
 *
 * <pre>{@code
 * ForwardRouter router = new ForwardRouter(endpoints, options, protocol, ready, decoder);
 * router.start();
 * }</pre>
 */
public final class ForwardRouter implements Service {
  private static final Logger log = LogManager.getLogger();

  /** Longest time to open a connection to an upstream; the zones are milliseconds apart. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);

  /** Longest idle time of a connection that may carry a request which must not run twice. */
  private static final Duration ONCE_IDLE = Duration.ofSeconds(2);

  /** Time for the balancer to notice, by two checks a second apart, that this router leaves. */
  private static final Duration NOTICE = Duration.ofMillis(2_600);

  private static final long POLL_MILLIS = 50;

  private final Endpoints endpoints;
  private final UndertowUpstreamClient client;
  private final ForwardCore core;
  private final CallerServer server;
  private final ControlLink link;
  private final Function<ForwardCore, RequestIntake> ready;

  /**
   * Where a router listens and what it calls.
   *
   * @param name name of the router
   * @param callers where callers connect
   * @param ready where readiness is asked for
   * @param metrics where metrics are served
   * @param control control VMs that are known at the start
   * @param grace longest time between the order to stop and the end
   */
  public record Endpoints(
      String name,
      InetSocketAddress callers,
      InetSocketAddress ready,
      InetSocketAddress metrics,
      List<InetSocketAddress> control,
      Duration grace) {
    /** Copies the list. */
    public Endpoints {
      control = List.copyOf(control);
    }
  }

  /**
   * Returns a router.
   *
   * @param endpoints where it listens and what it calls
   * @param options settings of the forwarding
   * @param protocol headers of callers and upstreams
   * @param ready answers questions for readiness
   * @param decoder reads documents
   */
  public ForwardRouter(
      Endpoints endpoints,
      ForwardOptions options,
      ForwardProtocol protocol,
      Function<ForwardCore, RequestIntake> ready,
      Function<byte[], Either<Failure, RoutingDocument>> decoder) {
    this.endpoints = endpoints;
    this.ready = ready;
    client =
        new UndertowUpstreamClient(
            CONNECT_TIMEOUT, ReusePolicy.stated(protocol.echoHeader(), ONCE_IDLE));
    core = new ForwardCore(options, protocol, client);
    core.metrics().gauge("jq_forward_upstream_connections", client::openConnections);
    server =
        new CallerServer(
            endpoints.callers(), 1, ListenerLimits.defaults(), new ForwardIntake(core));
    link = new ControlLink(endpoints.name(), options.domain(), endpoints.control(), core, decoder);
  }

  @Override
  public void start() {
    server.start();
    core.thread(server.thread());
    server.alsoServe(endpoints.ready(), ready.apply(core));
    server.alsoServe(endpoints.metrics(), new MetricsIntake(core.metrics().registry()));
    link.start();
    log.info("router {} listens on {}", endpoints.name(), endpoints.callers());
  }

  /** Lets requests in progress end, as far as the grace period allows. */
  @Override
  public void stop() {
    log.info("router {} leaves with {} requests", endpoints.name(), core.inProgress());
    core.leave();
    server.closeIdle();
    long began = System.nanoTime();
    try {
      awaitQuiet(began, NOTICE);
      server.stopAccepting();
      // A connection that was taken just before may still bring its request.
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      awaitQuiet(began, Duration.ZERO);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    link.stop();
    server.stop();
    client.close();
    log.info("router {} stopped with {} requests", endpoints.name(), core.inProgress());
  }

  /**
   * Waits until no request is in progress, as far as the grace period allows.
   *
   * @param began when the stop began, on the monotonic clock
   * @param least time since then from which on new requests are refused
   */
  private void awaitQuiet(long began, Duration least) throws InterruptedException {
    boolean quiet = false;
    while (!quiet) {
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
      Duration took = Duration.ofNanos(System.nanoTime() - began);
      boolean noticed = took.compareTo(least) > 0;
      if (noticed) {
        core.refuseNewRequests();
      }
      quiet =
          (noticed && core.inProgress() == 0 && server.requestsInProgress() == 0)
              || took.compareTo(endpoints.grace()) > 0;
    }
  }
}
