package io.jacinthquay.wire.transport;

import io.jacinthquay.runtime.Service;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.thrift.TProcessor;
import org.apache.thrift.server.THsHaServer;
import org.apache.thrift.transport.TTransportException;

/**
 * A Thrift server without encryption, for trusted networks.
 *
 * <p>Few threads serve any number of connections, so calls must be quick.
 */
public final class PlainServer implements Service {
  private static final Logger log = LogManager.getLogger();

  /** Largest message in bytes. */
  public static final int MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

  /** Most bytes of incomplete messages: one of the largest size, which is held twice at its end. */
  private static final long MAX_INCOMPLETE_BYTES = 2L * MAX_MESSAGE_BYTES;

  /** Most open connections; some hundred VMs hold a few each. */
  private static final int MAX_CONNECTIONS = 1_024;

  /** Number of worker threads; the machines that run this server have one core. */
  private static final int WORKER_THREADS = 2;

  private static final long MIN_DELAY_MILLIS = 200;
  private static final long MAX_DELAY_MILLIS = 1_000;

  private final InetSocketAddress address;
  private final TProcessor processor;
  private volatile THsHaServer server;
  private volatile ExecutorService workers;
  private volatile FrameBudget budget = new FrameBudget(MAX_INCOMPLETE_BYTES, MAX_CONNECTIONS);
  private volatile boolean stopping;

  /**
   * Returns a server.
   *
   * @param address where to listen
   * @param processor serves the calls
   */
  public PlainServer(InetSocketAddress address, TProcessor processor) {
    this.address = address;
    this.processor = processor;
  }

  /** Starts to listen, now or, if another socket holds the address, once it is free. */
  @Override
  public void start() {
    boolean listening = listenUnlessStopped();
    Thread selector = new Thread(() -> serve(listening), "thrift-" + address.getPort());
    selector.setDaemon(true);
    selector.start();
  }

  private void listen() throws TTransportException {
    budget = new FrameBudget(MAX_INCOMPLETE_BYTES, MAX_CONNECTIONS);
    FrameServerSocket socket = new FrameServerSocket(address, budget, MAX_MESSAGE_BYTES);
    workers = Executors.newFixedThreadPool(WORKER_THREADS);
    THsHaServer.Args args =
        new THsHaServer.Args(socket)
            .executorService(workers)
            .processor(processor)
            .protocolFactory(new BoundedProtocol.Factory())
            .transportFactory(new BoundedFrames.Factory(MAX_MESSAGE_BYTES));
    // Thrift stops reading from all connections at its own limit; FrameBudget closes slow ones.
    args.maxReadBufferBytes = Long.MAX_VALUE / 2;
    server = new THsHaServer(args);
  }

  /** Serves until the server is stopped; listens again if the selector ends by an error. */
  private void serve(boolean listensAtStart) {
    boolean listening = listensAtStart;
    long delayMillis = MIN_DELAY_MILLIS;
    while (!stopping) {
      if (listening) {
        serveOnce();
        delayMillis = MIN_DELAY_MILLIS;
      }
      if (listening && !stopping) {
        log.error("the Thrift server on {} has ended; it will listen again", address);
      }
      pause(delayMillis);
      delayMillis = Math.min(2 * delayMillis, MAX_DELAY_MILLIS);
      listening = listenUnlessStopped();
    }
  }

  private void serveOnce() {
    try {
      server.serve();
    } catch (RuntimeException | Error e) {
      log.error("the Thrift server on {} failed", address, e);
    } finally {
      workers.shutdown();
    }
  }

  private synchronized boolean listenUnlessStopped() {
    if (stopping) {
      return false;
    }
    try {
      checkAddress();
      listen();
      log.info("Thrift server listens on {}", address);
      return true;
    } catch (IOException | TTransportException e) {
      log.warn("cannot listen on {}; it will be tried again: {}", address, e.getMessage());
      return false;
    }
  }

  /** Checks that the address is free; Thrift leaves a socket open when it can't bind it. */
  private void checkAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.setReuseAddress(true);
      socket.bind(address);
    }
  }

  /** Returns how many connections were closed within a message since the server listens. */
  public long closedConnections() {
    return budget.closedConnections();
  }

  private static void pause(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      // Only stop() ends the thread.
      return;
    }
  }

  @Override
  public synchronized void stop() {
    stopping = true;
    if (server != null) {
      server.stop();
      workers.shutdown();
    }
  }
}
