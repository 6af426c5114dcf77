package io.jacinthquay.wire.transport;

import io.jacinthquay.runtime.Service;
import io.jacinthquay.runtime.tls.PeerIdentity;
import io.jacinthquay.runtime.tls.TlsIdentity;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.security.cert.Certificate;
import java.security.cert.X509Certificate;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import javax.net.ssl.SSLPeerUnverifiedException;
import javax.net.ssl.SSLServerSocket;
import javax.net.ssl.SSLSocket;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.thrift.TProcessor;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.server.ServerContext;
import org.apache.thrift.server.TServerEventHandler;
import org.apache.thrift.server.TThreadPoolServer;
import org.apache.thrift.transport.TServerSocket;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;

/**
 * A Thrift server that accepts only peers with a certificate of its own authority.
 *
 * <pre>{@code
 * SecureServer server =
 *     new SecureServer(address, identity, 64, peer -> new Keeper.Processor<>(handlerFor(peer)));
 * server.start();
 * }</pre>
 *
 * <p>Each connection has its own worker thread. {@link #stop()} closes all connections; a client
 * retries a call whose response was lost.
 */
public final class SecureServer implements Service {
  private static final Logger log = LogManager.getLogger();

  /** Largest message in bytes. */
  public static final int MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

  private static final int BACKLOG = 256;
  private static final int STOP_TIMEOUT_SECONDS = 2;
  private static final int CLIENT_TIMEOUT_MILLIS = 120_000;

  private final InetSocketAddress address;
  private final TlsIdentity identity;
  private final int maxConnections;
  private final Function<PeerIdentity, TProcessor> processors;
  private final Set<TTransport> connections = ConcurrentHashMap.newKeySet();
  private SSLServerSocket listener;
  private TThreadPoolServer server;
  private Thread acceptor;

  /**
   * Returns a server.
   *
   * @param address where to listen; port 0 takes a free one
   * @param identity the server's certificate and trusted authority
   * @param maxConnections the maximum number of open connections; further ones are closed
   * @param processors creates the processor for an authenticated peer
   */
  public SecureServer(
      InetSocketAddress address,
      TlsIdentity identity,
      int maxConnections,
      Function<PeerIdentity, TProcessor> processors) {
    this.address = address;
    this.identity = identity;
    this.maxConnections = maxConnections;
    this.processors = processors;
  }

  @Override
  public void start() {
    try {
      InetAddress host = address.getAddress();
      listener =
          (SSLServerSocket)
              identity
                  .context()
                  .getServerSocketFactory()
                  .createServerSocket(address.getPort(), BACKLOG, host);
      listener.setNeedClientAuth(true);
      server = newServer(listener);
    } catch (IOException | TTransportException e) {
      throw new IllegalStateException("cannot listen on " + address + ": " + e.getMessage(), e);
    }
    acceptor = new Thread(server::serve, "accept-" + port());
    acceptor.setDaemon(true);
    acceptor.start();
  }

  private TThreadPoolServer newServer(ServerSocket socket) throws TTransportException {
    ThreadPoolExecutor workers =
        new ThreadPoolExecutor(
            1,
            maxConnections,
            60,
            TimeUnit.SECONDS,
            new SynchronousQueue<>(),
            SecureServer::newWorker);
    TThreadPoolServer.Args args =
        new TThreadPoolServer.Args(new TServerSocket(socket, CLIENT_TIMEOUT_MILLIS))
            .executorService(workers)
            .stopTimeoutVal(STOP_TIMEOUT_SECONDS)
            .transportFactory(new BoundedFrames.Factory(MAX_MESSAGE_BYTES))
            .protocolFactory(new BoundedProtocol.Factory())
            .processorFactory(new PeerProcessors());
    TThreadPoolServer threadPoolServer = new TThreadPoolServer(args);
    threadPoolServer.setServerEventHandler(new ConnectionTracker());
    return threadPoolServer;
  }

  private static Thread newWorker(Runnable task) {
    Thread thread = new Thread(task, "rpc-worker");
    thread.setDaemon(true);
    return thread;
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return listener.getLocalPort();
  }

  @Override
  public void stop() {
    if (server == null) {
      return;
    }
    server.stop();
    connections.forEach(TTransport::close);
    try {
      acceptor.join(TimeUnit.SECONDS.toMillis(STOP_TIMEOUT_SECONDS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Tracks the open connections so that {@link #stop()} can close them. */
  private final class ConnectionTracker implements TServerEventHandler {
    @Override
    public void preServe() {}

    @Override
    public ServerContext createContext(TProtocol input, TProtocol output) {
      connections.add(input.getTransport());
      return new Connection(input.getTransport());
    }

    @Override
    public void deleteContext(ServerContext context, TProtocol input, TProtocol output) {
      connections.remove(input.getTransport());
    }

    @Override
    public void processContext(
        ServerContext context, TTransport inputTransport, TTransport outputTransport) {}
  }

  /** One open connection. */
  private record Connection(TTransport transport) implements ServerContext {
    @Override
    public <T> T unwrap(Class<T> type) {
      return type.cast(transport);
    }

    @Override
    public boolean isWrapperFor(Class<?> type) {
      return type.isInstance(transport);
    }
  }

  /** Creates one processor per connection, for the identity in the peer's certificate. */
  private final class PeerProcessors extends org.apache.thrift.TProcessorFactory {
    PeerProcessors() {
      super(null);
    }

    @Override
    public TProcessor getProcessor(TTransport transport) {
      Optional<PeerIdentity> peer = peerOf(transport);
      if (peer.isEmpty()) {
        transport.close();
        return (in, out) -> {
          throw new TTransportException(
              TTransportException.NOT_OPEN, "peer certificate names no role");
        };
      }
      return processors.apply(peer.get());
    }

    private Optional<PeerIdentity> peerOf(TTransport transport) {
      SSLSocket socket = (SSLSocket) ((TSocket) transport).getSocket();
      try {
        socket.startHandshake();
        Certificate[] chain = socket.getSession().getPeerCertificates();
        return PeerIdentity.of((X509Certificate) chain[0]);
      } catch (SSLPeerUnverifiedException e) {
        return Optional.empty();
      } catch (IOException e) {
        log.debug("TLS handshake failed: {}", e.getMessage());
        return Optional.empty();
      }
    }
  }
}
