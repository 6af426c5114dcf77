package io.jacinthquay.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.FutureTask;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** A TCP server on loopback that serves each connection on a thread. */
final class Acceptor implements AutoCloseable {
  private static final Logger log = LogManager.getLogger();
  private static final int BACKLOG = 256;

  /** Handles the connections of an acceptor. */
  interface Server {
    /** Serves one connection; the acceptor closes the socket afterwards. */
    void serve(Socket socket) throws IOException;
  }

  private final ServerSocket listener;
  private final Server server;
  private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
  private final Set<Future<?>> tasks = ConcurrentHashMap.newKeySet();
  private volatile boolean closed;

  Acceptor(Server server) throws IOException {
    this(server, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  /** Listens at an address; port 0 selects a free port. */
  Acceptor(Server server, InetSocketAddress address) throws IOException {
    this.server = server;
    listener = new ServerSocket(address.getPort(), BACKLOG, address.getAddress());
    execute(this::accept);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
  }

  /** Runs a task that is interrupted when the acceptor is closed. */
  private void execute(Runnable work) {
    FutureTask<?> task =
        new FutureTask<>(() -> runLogged(work), null) {
          @Override
          protected void done() {
            tasks.remove(this);
          }
        };
    tasks.add(task);
    ConnectionThreads.execute(task);
  }

  private static void runLogged(Runnable work) {
    try {
      work.run();
    } catch (RuntimeException e) {
      log.error("a connection failed", e);
    }
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        openSockets.add(socket);
        // Read after the socket was added, so that either this or close() resets it.
        if (closed) {
          reset(socket);
        } else {
          execute(() -> serve(socket));
        }
      } catch (IOException e) {
        log.debug("accept failed: {}", e.getMessage());
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      server.serve(socket);
    } catch (IOException e) {
      log.debug("a connection failed: {}", e.getMessage());
    } finally {
      openSockets.remove(socket);
    }
  }

  /** Resets all open connections. */
  void reset() {
    openSockets.forEach(Acceptor::reset);
  }

  /** Closes a connection with a TCP reset, so that the peer sees an error rather than its end. */
  static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      log.debug("a connection could not be reset: {}", e.getMessage());
    }
  }

  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
    reset();
    tasks.forEach(task -> task.cancel(true));
  }
}
