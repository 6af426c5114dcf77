package io.jacinthquay.wire.transport;

import io.jacinthquay.runtime.Service;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
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

  private final InetSocketAddress address;
  private final TProcessor processor;
  private THsHaServer server;
  private ExecutorService workers;

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
      workers = Executors.newFixedThreadPool(WORKER_THREADS);
      THsHaServer.Args args =
          new THsHaServer.Args(new TNonblockingServerSocket(address))
              .executorService(workers)
              .processor(processor)
              .protocolFactory(new TCompactProtocol.Factory())
              .transportFactory(new TFramedTransport.Factory(MAX_MESSAGE_BYTES));
      args.maxReadBufferBytes = 2L * MAX_MESSAGE_BYTES;
      server = new THsHaServer(args);
    } catch (TTransportException e) {
      throw new IllegalStateException("cannot listen on " + address + ": " + e.getMessage(), e);
    }
    Thread selector = new Thread(server::serve, "thrift-" + address.getPort());
    selector.setDaemon(true);
    selector.start();
    log.info("Thrift server listens on {}", address);
  }

  @Override
  public void stop() {
    if (server != null) {
      server.stop();
      workers.shutdown();
    }
  }
}
