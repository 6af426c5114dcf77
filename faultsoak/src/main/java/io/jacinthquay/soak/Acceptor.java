package io.jacinthquay.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Listens on loopback and serves each connection on a thread of its own. */
final class Acceptor implements AutoCloseable {
  private static final Logger log = LogManager.getLogger();
  private static final int BACKLOG = 256;

  /** Serves one connection until it ends. */
  interface Server {
    void serve(Socket socket) throws IOException;
  }

  private final ServerSocket listener;
  private final Server server;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final ExecutorService threads =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "soak-connection");
            thread.setDaemon(true);
            return thread;
          });

  Acceptor(Server server) throws IOException {
    this(server, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
  }

  /** Listens at an address; port 0 stands for any that is free. */
  Acceptor(Server server, InetSocketAddress address) throws IOException {
    this.server = server;
    listener = new ServerSocket(address.getPort(), BACKLOG, address.getAddress());
    threads.execute(this::accept);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(listener.getInetAddress(), listener.getLocalPort());
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        open.add(socket);
        threads.execute(() -> serve(socket));
      } catch (IOException e) {
        log.debug("no longer accepting: {}", e.getMessage());
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      server.serve(socket);
    } catch (IOException e) {
      log.debug("a connection ended: {}", e.getMessage());
    } finally {
      open.remove(socket);
    }
  }

  /** Resets all connections. */
  void reset() {
    open.forEach(Acceptor::reset);
  }

  /** Ends a connection at once, so that the other side gets an error. */
  static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException e) {
      log.debug("a connection was closed before: {}", e.getMessage());
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    reset();
    threads.shutdownNow();
  }
}
