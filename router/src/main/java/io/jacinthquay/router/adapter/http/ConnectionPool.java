package io.jacinthquay.router.adapter.http;

import io.jacinthquay.runtime.http.ClientConnections;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** The idle connections of one I/O thread; used on that thread only. */
final class ConnectionPool {
  private static final Logger log = LogManager.getLogger();

  /** Longest time that a connection is kept idle. */
  private static final long MOST_IDLE_NANOS = TimeUnit.SECONDS.toNanos(15);

  /** Share of the idle time that an upstream states after which its connection is not reused. */
  private static final double STATED_SHARE = 0.6;

  private static final Pattern TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

  private static final int MOST_IDLE_PER_UPSTREAM = 64;
  private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

  private final XnioIoThread thread;
  private final BoundedOpener opener;
  private final ByteBufferPool buffers;
  private final Duration connectTimeout;
  private final ReusePolicy reuse;
  private final AtomicInteger open;
  private final Map<InetSocketAddress, Deque<Idle>> idle = new HashMap<>();

  /**
   * Returns a pool without connections.
   *
   * @param open counts the open connections of all pools
   */
  ConnectionPool(
      XnioIoThread thread,
      ByteBufferPool buffers,
      Duration connectTimeout,
      ReusePolicy reuse,
      AtomicInteger open) {
    this.reuse = reuse;
    this.open = open;
    this.thread = thread;
    this.opener = new BoundedOpener(thread);
    this.buffers = buffers;
    this.connectTimeout = connectTimeout;
  }

  private record Idle(UpstreamConnection connection, long sinceNanos, long mostIdleNanos) {}

  /** Returns the header that names a request towards upstreams and in their answers. */
  HttpString idHeader() {
    return reuse.idHeader();
  }

  ByteBufferPool buffers() {
    return buffers;
  }

  /** Runs a task on the thread after a time. */
  XnioExecutor.Key after(long millis, Runnable task) {
    return thread.executeAfter(task, millis, TimeUnit.MILLISECONDS);
  }

  /**
   * Hands out a connection.
   *
   * @param justAnswered whether a reused connection must have answered a moment ago, so that a
   *     reset on it can't stem from the time before the request
   */
  void take(
      InetSocketAddress address, boolean justAnswered, ClientCallback<UpstreamConnection> taker) {
    UpstreamConnection reused = takeIdle(address, justAnswered);
    if (reused != null) {
      taker.completed(reused);
      return;
    }
    connect(address, new FirstOf(taker));
  }

  private void connect(InetSocketAddress address, FirstOf first) {
    URI uri = URI.create("http://" + hostText(address) + ":" + address.getPort());
    XnioExecutor.Key timer =
        thread.executeAfter(
            () -> first.failed(new IOException("connecting took too long")),
            connectTimeout.toMillis(),
            TimeUnit.MILLISECONDS);
    first.timer = timer;
    UndertowClient.getInstance().connect(first, uri, opener, buffers, OPTIONS);
  }

  private static String hostText(InetSocketAddress address) {
    String host = address.getAddress().getHostAddress();
    return host.indexOf(':') >= 0 ? "[" + host + "]" : host;
  }

  private UpstreamConnection takeIdle(InetSocketAddress address, boolean justAnswered) {
    Deque<Idle> connections = idle.get(address);
    if (connections == null) {
      return null;
    }
    long now = System.nanoTime();
    long mostIdle = justAnswered ? reuse.onceIdleNanos() : MOST_IDLE_NANOS;
    Idle next = connections.pollLast();
    while (next != null) {
      boolean fresh = now - next.sinceNanos() <= Math.min(mostIdle, next.mostIdleNanos());
      if (fresh && next.connection().isOpen() && next.connection().source().isQuiet()) {
        return next.connection();
      }
      next.connection().close();
      next = connections.pollLast();
    }
    return null;
  }

  /** The upstream closes after the time that it states, so less than that is used. */
  private static long mostIdleNanos(String keepAlive) {
    if (keepAlive == null) {
      return MOST_IDLE_NANOS;
    }
    Matcher stated = TIMEOUT.matcher(keepAlive);
    return stated.find()
        ? (long) (Integer.parseInt(stated.group(1)) * STATED_SHARE * 1e9)
        : MOST_IDLE_NANOS;
  }

  /**
   * Takes back a connection whose answer has wholly arrived.
   *
   * <p>The client closes it at its next turn if more than the answer was read, so it is kept only
   * after that.
   */
  void giveBack(InetSocketAddress address, UpstreamConnection connection, String keepAlive) {
    try {
      thread.execute(() -> keep(address, connection, keepAlive));
    } catch (RejectedExecutionException e) {
      log.debug("a connection is closed as the thread ends: {}", e.getMessage());
      connection.close();
    }
  }

  private void keep(InetSocketAddress address, UpstreamConnection connection, String keepAlive) {
    if (!connection.isOpen()) {
      return;
    }
    Deque<Idle> connections = idle.computeIfAbsent(address, a -> new ArrayDeque<>());
    if (connections.size() >= MOST_IDLE_PER_UPSTREAM) {
      connections.pollFirst().connection().close();
    }
    connections.addLast(new Idle(connection, System.nanoTime(), mostIdleNanos(keepAlive)));
  }

  void close() {
    try {
      thread.execute(() -> idle.values().forEach(q -> q.forEach(i -> i.connection().close())));
    } catch (RejectedExecutionException e) {
      idle.clear();
    }
  }

  /** Passes on the first result only; a connection that comes too late is closed. */
  private final class FirstOf implements ClientCallback<ClientConnection> {
    private final ClientCallback<UpstreamConnection> taker;
    private XnioExecutor.Key timer;
    private boolean done;

    FirstOf(ClientCallback<UpstreamConnection> taker) {
      this.taker = taker;
    }

    @Override
    public void completed(ClientConnection connection) {
      if (done) {
        ClientConnections.close(connection);
        return;
      }
      finish();
      open.incrementAndGet();
      connection.addCloseListener(closed -> open.decrementAndGet());
      taker.completed(new UpstreamConnection(connection, opener.newest()));
    }

    @Override
    public void failed(IOException e) {
      if (!done) {
        finish();
        taker.failed(e);
      }
    }

    private void finish() {
      done = true;
      timer.remove();
    }
  }
}
