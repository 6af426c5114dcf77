package io.jacinthquay.router.adapter.http;

import io.jacinthquay.router.port.RequestIntake;
import io.jacinthquay.runtime.Service;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import java.net.InetSocketAddress;
import org.xnio.Options;

/** Listens for callers over HTTP/1.1. */
public final class CallerServer implements Service {
  /** How much larger a head may be than the limit and still get a numbered refusal. */
  private static final int HEAD_ALLOWANCE = 4;

  private static final int BACKLOG = 1_024;
  private static final int MAX_HEADERS = 200;

  private final InetSocketAddress address;
  private final int ioThreads;
  private final ListenerLimits limits;
  private final RequestIntake intake;
  private Undertow server;

  /**
   * Returns a server.
   *
   * @param address where to listen; port 0 takes a free one
   * @param ioThreads threads that carry all requests, 1 or more
   * @param limits protection against bad input
   * @param intake takes the requests
   */
  public CallerServer(
      InetSocketAddress address, int ioThreads, ListenerLimits limits, RequestIntake intake) {
    this.address = address;
    this.ioThreads = ioThreads;
    this.limits = limits;
    this.intake = intake;
  }

  @Override
  public void start() {
    Undertow built =
        Undertow.builder()
            .addHttpListener(address.getPort(), address.getHostString())
            .setIoThreads(ioThreads)
            .setWorkerThreads(1)
            .setWorkerOption(Options.WORKER_NAME, "caller")
            .setSocketOption(Options.BACKLOG, BACKLOG)
            .setSocketOption(Options.CONNECTION_HIGH_WATER, limits.maxConnections())
            .setSocketOption(Options.CONNECTION_LOW_WATER, limits.maxConnections())
            .setServerOption(
                UndertowOptions.MAX_HEADER_SIZE, limits.maxHeadBytes() * HEAD_ALLOWANCE)
            .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, limits.headMillis())
            .setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, limits.idleMillis())
            .setServerOption(UndertowOptions.ENABLE_HTTP2, false)
            .setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
            .setHandler(new CallerHandler(intake, limits))
            .build();
    try {
      built.start();
    } catch (RuntimeException e) {
      throw new IllegalStateException("cannot listen on " + address + ": " + e.getMessage(), e);
    }
    server = built;
  }

  /** Returns the port that the server listens on. */
  public int port() {
    InetSocketAddress bound = (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
    return bound.getPort();
  }

  @Override
  public void stop() {
    if (server != null) {
      server.stop();
    }
  }
}
