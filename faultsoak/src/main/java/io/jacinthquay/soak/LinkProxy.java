package io.jacinthquay.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** A TCP proxy on loopback that forwards bytes to a server and delays or blocks them on demand. */
final class LinkProxy implements AutoCloseable {
  private static final Logger log = LogManager.getLogger();
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final long DELAY_MILLIS = 120;
  private static final int CONNECT_TIMEOUT_MILLIS = 2_000;

  /** How bytes are forwarded; none is lost or reordered. */
  enum Mode {
    /** Forwards at once. */
    PASSES,
    /** Forwards each read after {@link #DELAY_MILLIS}. */
    DELAYED,
    /** Forwards to the server, and holds back what it sends. */
    ONE_WAY,
    /** Holds back both directions. */
    SILENT
  }

  /**
   * The end of a client's connection. Times are on the monotonic clock.
   *
   * @param clientPort the client's local port
   * @param serverPort the port from which the proxy was connected to the server
   * @param seenNanos when the proxy saw it
   * @param forwardedNanos when it was forwarded to the server
   */
  record End(int clientPort, int serverPort, long seenNanos, long forwardedNanos) {}

  /** Is called when the end of a client's connection was forwarded to the server. */
  interface DisconnectListener {
    /** Called after the end of a client's connection was forwarded to the server. */
    void onDisconnect(End end);
  }

  private final Acceptor acceptor;
  private final DisconnectListener disconnectListener;
  private final Supplier<InetSocketAddress> server;
  private final Object modeLock = new Object();
  private Mode mode = Mode.PASSES;
  private boolean closed;

  /** How often the open connections were cut; a connection opened before the last time is dead. */
  private int cuts;

  LinkProxy(Supplier<InetSocketAddress> server) throws IOException {
    this(server, end -> {});
  }

  LinkProxy(Supplier<InetSocketAddress> server, DisconnectListener disconnectListener)
      throws IOException {
    this(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), server, disconnectListener);
  }

  /** Listens at an address; port 0 selects a free port. */
  LinkProxy(
      InetSocketAddress address,
      Supplier<InetSocketAddress> server,
      DisconnectListener disconnectListener)
      throws IOException {
    this.disconnectListener = disconnectListener;
    this.server = server;
    this.acceptor = new Acceptor(this::serve, address);
  }

  InetSocketAddress address() {
    return acceptor.address();
  }

  void setMode(Mode newMode) {
    synchronized (modeLock) {
      mode = newMode;
      modeLock.notifyAll();
    }
  }

  void reset() {
    acceptor.reset();
  }

  /**
   * Holds back all bytes and ends of the open connections from now on, without closing them, as a
   * network does that has lost their state. Later connections are forwarded.
   */
  void cutOpenConnections() {
    synchronized (modeLock) {
      cuts++;
    }
  }

  private int cuts() {
    synchronized (modeLock) {
      return cuts;
    }
  }

  private void serve(Socket client) throws IOException {
    int cutsAtStart = cuts();
    awaitForwarding(true, cutsAtStart);
    try (Socket serverSocket = new Socket()) {
      serverSocket.setTcpNoDelay(true);
      serverSocket.connect(server.get(), CONNECT_TIMEOUT_MILLIS);
      FutureTask<Long> responses =
          new FutureTask<>(() -> forward(serverSocket, client, false, cutsAtStart));
      ConnectionThreads.execute(responses);
      int clientPort = client.getPort();
      int serverPort = serverSocket.getLocalPort();
      long seenNanos = forward(client, serverSocket, true, cutsAtStart);
      disconnectListener.onDisconnect(
          new End(clientPort, serverPort, seenNanos, System.nanoTime()));
      responses.get();
    } catch (ExecutionException e) {
      throw new IOException("the server's direction failed", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Forwards one direction until it ends, and returns when its end was seen. */
  private long forward(Socket from, Socket to, boolean toServer, int cutsAtStart) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      while (true) {
        int count = from.getInputStream().read(buffer);
        long readNanos = System.nanoTime();
        awaitForwarding(toServer, cutsAtStart);
        if (count < 0) {
          to.shutdownOutput();
          return readNanos;
        }
        to.getOutputStream().write(buffer, 0, count);
      }
    } catch (IOException e) {
      log.debug("a proxied connection failed: {}", e.getMessage());
      long failedNanos = System.nanoTime();
      Acceptor.reset(from);
      Acceptor.reset(to);
      return failedNanos;
    }
  }

  private void awaitForwarding(boolean toServer, int cutsAtStart) throws IOException {
    try {
      synchronized (modeLock) {
        if (mode == Mode.DELAYED) {
          modeLock.wait(DELAY_MILLIS);
        }
        while (!closed && (cuts > cutsAtStart || holdsBack(toServer))) {
          modeLock.wait(TimeUnit.SECONDS.toMillis(1));
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("the proxy was interrupted", e);
    }
  }

  private boolean holdsBack(boolean toServer) {
    return mode == Mode.SILENT || mode == Mode.ONE_WAY && !toServer;
  }

  @Override
  public void close() throws IOException {
    synchronized (modeLock) {
      closed = true;
      modeLock.notifyAll();
    }
    acceptor.close();
  }
}
