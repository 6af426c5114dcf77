package io.jacinthquay.wire.transport;

import io.jacinthquay.runtime.Service;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.thrift.TProcessor;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.server.THsHaServer;
import org.apache.thrift.transport.TNonblockingServerSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;

/**
 * A Thrift server without encryption, for trusted networks.
 *
 * <p>Few threads serve any number of connections, so calls must be quick.
 */
public final class PlainServer implements Service {
  private static final Logger log = LogManager.getLogger();

  /** Largest message in bytes. */
  public static final int MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

  /** Number of worker threads; the machines that run this server have one core. */
  private static final int WORKER_THREADS = 2;

  private static final int RESTART_DELAY_MILLIS = 200;

  private final InetSocketAddress address;
  private final TProcessor processor;
  private volatile THsHaServer server;
  private volatile ExecutorService workers;
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

  @Override
  public void start() {
    try {
      listen();
    } catch (TTransportException e) {
      throw new IllegalStateException("cannot listen on " + address + ": " + e.getMessage(), e);
    }
    Thread selector = new Thread(this::serve, "thrift-" + address.getPort());
    selector.setDaemon(true);
    selector.start();
    log.info("Thrift server listens on {}", address);
  }

  private void listen() throws TTransportException {
    TNonblockingServerSocket socket = new TNonblockingServerSocket(address);
    workers = Executors.newFixedThreadPool(WORKER_THREADS);
    THsHaServer.Args args =
        new THsHaServer.Args(socket)
            .executorService(workers)
            .processor(processor)
            .protocolFactory(new TCompactProtocol.Factory())
            .transportFactory(new TFramedTransport.Factory(MAX_MESSAGE_BYTES));
    args.maxReadBufferBytes = 2L * MAX_MESSAGE_BYTES;
    server = new THsHaServer(args);
  }

  /** Serves until the server is stopped; listens again if the selector ends by an error. */
  private void serve() {
    serveOnce();
    boolean listening = true;
    while (!stopping) {
      if (listening) {
        log.error("the Thrift server on {} has ended; it will listen again", address);
      }
      pause();
      listening = listenAgain();
      if (listening) {
        serveOnce();
      }
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

  private boolean listenAgain() {
    try {
      listen();
      return true;
    } catch (TTransportException e) {
      log.warn("cannot listen on {}: {}", address, e.getMessage());
      return false;
    }
  }

  private static void pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(RESTART_DELAY_MILLIS);
    } catch (InterruptedException e) {
      // Only stop() ends the thread.
      return;
    }
  }

  @Override
  public void stop() {
    stopping = true;
    if (server != null) {
      server.stop();
      workers.shutdown();
    }
  }
}
