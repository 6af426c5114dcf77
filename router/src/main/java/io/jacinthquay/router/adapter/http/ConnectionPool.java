package io.jacinthquay.router.adapter.http;

import io.jacinthquay.model.RequestId;
import io.jacinthquay.runtime.http.AnswerMemory;
import io.jacinthquay.runtime.http.BoundedOpener;
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
import java.util.Iterator;
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

/** A pool of the idle upstream connections of one I/O thread; used on that thread only. */
final class ConnectionPool {
  private static final Logger log = LogManager.getLogger();

  /** Longest time that a connection is kept idle, in nanoseconds. */
  private static final long MAX_IDLE_NANOS = TimeUnit.SECONDS.toNanos(15);

  /** Share of an upstream's stated keep-alive timeout for which its connection may be reused. */
  private static final double KEEP_ALIVE_SHARE = 0.6;

  private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout=(\\d{1,6})");

  private static final int MAX_IDLE_PER_UPSTREAM = 64;
  private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

  private final XnioIoThread thread;
  private final BoundedOpener opener;
  private final ByteBufferPool buffers;
  private final Duration connectTimeout;
  private final ReusePolicy reuse;
  private final AtomicInteger openConnections;
  private final Map<InetSocketAddress, Deque<Idle>> idle = new HashMap<>();

  /**
   * Returns a pool without connections.
   *
   * @param openConnections counts the open connections of all pools
   * @param memory for the heads and trailers of responses, over all pools
   */
  ConnectionPool(
      XnioIoThread thread,
      ByteBufferPool buffers,
      Duration connectTimeout,
      ReusePolicy reuse,
      AtomicInteger openConnections,
      AnswerMemory memory) {
    this.reuse = reuse;
    this.openConnections = openConnections;
    this.thread = thread;
    this.opener = new BoundedOpener(thread, memory);
    this.buffers = buffers;
    this.connectTimeout = connectTimeout;
  }

  private record Idle(UpstreamConnection connection, long idleSinceNanos, long maxIdleNanos) {}

  /** Returns the header that carries the id of a request, to upstreams and in their responses. */
  HttpString idHeader() {
    return reuse.idHeader();
  }

  ByteBufferPool buffers() {
    return buffers;
  }

  /** Runs a task on the thread after a delay in milliseconds. */
  XnioExecutor.Key after(long millis, Runnable task) {
    return thread.executeAfter(task, millis, TimeUnit.MILLISECONDS);
  }

  /**
   * Returns a connection to the callback, idle or new.
   *
   * @param id the request that is going to be sent; no connection is reused that has carried it
   * @param recentlyUsedOnly whether to reuse only a connection that received a response a moment
   *     ago, so that a reset on it can't stem from its idle timeout
   */
  void acquire(
      InetSocketAddress address,
      RequestId id,
      boolean recentlyUsedOnly,
      ClientCallback<UpstreamConnection> callback) {
    UpstreamConnection reused = takeIdle(address, id, recentlyUsedOnly);
    if (reused != null) {
      callback.completed(reused);
      return;
    }
    connect(address, new ConnectCallback(callback));
  }

  private void connect(InetSocketAddress address, ConnectCallback callback) {
    URI uri = URI.create("http://" + hostText(address) + ":" + address.getPort());
    XnioExecutor.Key timer =
        thread.executeAfter(
            () -> callback.failed(new IOException("connecting timed out")),
            connectTimeout.toMillis(),
            TimeUnit.MILLISECONDS);
    callback.timer = timer;
    UndertowClient.getInstance().connect(callback, uri, opener, buffers, OPTIONS);
  }

  private static String hostText(InetSocketAddress address) {
    String host = address.getAddress().getHostAddress();
    return host.indexOf(':') >= 0 ? "[" + host + "]" : host;
  }

  private UpstreamConnection takeIdle(
      InetSocketAddress address, RequestId id, boolean recentlyUsedOnly) {
    Deque<Idle> connections = idle.get(address);
    if (connections == null) {
      return null;
    }
    long now = System.nanoTime();
    long maxIdle = recentlyUsedOnly ? reuse.nonIdempotentIdleNanos() : MAX_IDLE_NANOS;
    Iterator<Idle> newestFirst = connections.descendingIterator();
    while (newestFirst.hasNext()) {
      Idle next = newestFirst.next();
      if (next.connection().hasCarried(id)) {
        continue;
      }
      newestFirst.remove();
      boolean fresh = now - next.idleSinceNanos() <= Math.min(maxIdle, next.maxIdleNanos());
      if (fresh && next.connection().isOpen() && next.connection().source().isQuiet()) {
        return next.connection();
      }
      next.connection().close();
    }
    return null;
  }

  /**
   * Returns the longest idle time of a connection. The upstream closes it after the timeout that it
   * states, so only a share of that time is used.
   */
  private static long maxIdleNanos(String keepAlive) {
    if (keepAlive == null) {
      return MAX_IDLE_NANOS;
    }
    Matcher timeout = KEEP_ALIVE_TIMEOUT.matcher(keepAlive);
    return timeout.find()
        ? (long) (Integer.parseInt(timeout.group(1)) * KEEP_ALIVE_SHARE * 1e9)
        : MAX_IDLE_NANOS;
  }

  /**
   * Returns a connection to the pool whose response is complete.
   *
   * <p>If more than the response was read, the client closes the connection in its next task, so it
   * is added to the pool only after that.
   */
  void release(InetSocketAddress address, UpstreamConnection connection, String keepAlive) {
    try {
      thread.execute(() -> addIdle(address, connection, keepAlive));
    } catch (RejectedExecutionException e) {
      log.debug("the I/O thread has ended; closing a connection: {}", e.getMessage());
      connection.close();
    }
  }

  private void addIdle(InetSocketAddress address, UpstreamConnection connection, String keepAlive) {
    if (!connection.isOpen()) {
      return;
    }
    Deque<Idle> connections = idle.computeIfAbsent(address, a -> new ArrayDeque<>());
    if (connections.size() >= MAX_IDLE_PER_UPSTREAM) {
      connections.pollFirst().connection().close();
    }
    connections.addLast(new Idle(connection, System.nanoTime(), maxIdleNanos(keepAlive)));
  }

  void close() {
    try {
      thread.execute(() -> idle.values().forEach(q -> q.forEach(i -> i.connection().close())));
    } catch (RejectedExecutionException e) {
      idle.clear();
    }
  }

  /** Holds no callback, since the connection outlives the request that it was opened for. */
  private static void countOpen(ClientConnection connection, AtomicInteger openConnections) {
    openConnections.incrementAndGet();
    connection.addCloseListener(closed -> openConnections.decrementAndGet());
  }

  /** Passes on the first result only; a connection that opens after the timeout is closed. */
  private final class ConnectCallback implements ClientCallback<ClientConnection> {
    private final ClientCallback<UpstreamConnection> callback;
    private XnioExecutor.Key timer;
    private boolean done;

    ConnectCallback(ClientCallback<UpstreamConnection> callback) {
      this.callback = callback;
    }

    @Override
    public void completed(ClientConnection connection) {
      if (done) {
        ClientConnections.close(connection);
        return;
      }
      finish();
      countOpen(connection, openConnections);
      callback.completed(new UpstreamConnection(connection, opener.latestSource()));
    }

    @Override
    public void failed(IOException e) {
      if (!done) {
        finish();
        callback.failed(e);
      }
    }

    private void finish() {
      done = true;
      timer.remove();
    }
  }
}
