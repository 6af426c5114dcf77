package io.jacinthquay.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Passes bytes between callers and a server on loopback, and disturbs them on demand. */
final class LinkProxy implements AutoCloseable {
  private static final Logger log = LogManager.getLogger();
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final long DELAY_MILLIS = 120;
  private static final int CONNECT_MILLIS = 2_000;

  /** What happens to bytes on their way; all is kept, in order. */
  enum Mode {
    PASSES,
    DELAYED,
    /** Nothing comes back from the server. */
    ONE_WAY,
    SILENT
  }

  /** Hears when the end of a caller was passed on to the server. */
  interface Ends {
    /**
     * A caller's end has reached the server.
     *
     * @param port of the caller
     */
    void passed(int port);
  }

  private final Acceptor acceptor;
  private final Ends ends;
  private final Supplier<InetSocketAddress> server;
  private final Object change = new Object();
  private Mode mode = Mode.PASSES;
  private boolean closed;

  LinkProxy(Supplier<InetSocketAddress> server) throws IOException {
    this(server, port -> {});
  }

  LinkProxy(Supplier<InetSocketAddress> server, Ends ends) throws IOException {
    this(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), server, ends);
  }

  /** Listens at an address; port 0 stands for any that is free. */
  LinkProxy(InetSocketAddress address, Supplier<InetSocketAddress> server, Ends ends)
      throws IOException {
    this.ends = ends;
    this.server = server;
    this.acceptor = new Acceptor(this::serve, address);
  }

  InetSocketAddress address() {
    return acceptor.address();
  }

  void mode(Mode newMode) {
    synchronized (change) {
      mode = newMode;
      change.notifyAll();
    }
  }

  void reset() {
    acceptor.reset();
  }

  private void serve(Socket caller) throws IOException {
    awaitPassage(true);
    try (Socket upstream = new Socket()) {
      upstream.setTcpNoDelay(true);
      upstream.connect(server.get(), CONNECT_MILLIS);
      Thread back = new Thread(() -> pump(upstream, caller, false), "soak-link");
      back.setDaemon(true);
      back.start();
      int port = caller.getPort();
      pump(caller, upstream, true);
      ends.passed(port);
      back.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void pump(Socket from, Socket to, boolean forth) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      while (true) {
        int count = from.getInputStream().read(buffer);
        awaitPassage(forth);
        if (count < 0) {
          to.shutdownOutput();
          return;
        }
        to.getOutputStream().write(buffer, 0, count);
      }
    } catch (IOException e) {
      log.debug("a link broke: {}", e.getMessage());
      Acceptor.reset(from);
      Acceptor.reset(to);
    }
  }

  private void awaitPassage(boolean forth) throws IOException {
    try {
      synchronized (change) {
        if (mode == Mode.DELAYED) {
          change.wait(DELAY_MILLIS);
        }
        while (!closed && (mode == Mode.SILENT || mode == Mode.ONE_WAY && !forth)) {
          change.wait(TimeUnit.SECONDS.toMillis(1));
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("the proxy ends", e);
    }
  }

  @Override
  public void close() throws IOException {
    synchronized (change) {
      closed = true;
      change.notifyAll();
    }
    acceptor.close();
  }
}
