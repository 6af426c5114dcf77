package io.jacinthquay.router.adapter.http;

import io.jacinthquay.runtime.http.BufferBudget;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Tracks callers' connections, so that a planned stop waits for those that carry a request and
 * closes the others.
 *
 * <p>The state of a connection changes on its own I/O thread only; the counts may be read by any
 * thread. Only the I/O thread can tell whether a request has just begun, so a connection is closed
 * there too.
 */
final class ConnectionTracker {
  private static final Logger log = LogManager.getLogger();

  private final Map<StreamConnection, TrackedConnection> open = new ConcurrentHashMap<>();

  /**
   * Connections whose pooled buffer holds what came behind their request, until a task frees it.
   */
  private final Map<TrackedConnection, AbstractServerConnection> heldBuffers =
      new ConcurrentHashMap<>();

  private final AtomicInteger busy = new AtomicInteger();
  private final AtomicLong slowBodies = new AtomicLong();
  private final FairBound<TrackedConnection> unfinishedHeads;
  private final BufferBudget memory;
  private volatile boolean draining;

  /**
   * Returns a tracker.
   *
   * @param limits bounds the memory of unfinished heads
   * @param memory the memory that all connections share
   */
  ConnectionTracker(ListenerLimits limits, BufferBudget memory) {
    unfinishedHeads = new FairBound<>(limits.maxUnfinishedHeadBytes());
    this.memory = memory;
  }

  /** Returns the open connections, in no particular order. */
  Collection<TrackedConnection> connections() {
    return open.values();
  }

  /** Tracks a connection from its acceptance; to be called before anything is read from it. */
  TrackedConnection opened(StreamConnection connection, ReadAheadSource source, WriteWatch writes) {
    TrackedConnection tracked =
        new TrackedConnection(connection, source, writes, unfinishedHeads, memory);
    open.put(connection, tracked);
    return tracked;
  }

  /** Forgets a connection that has closed. */
  void closed(StreamConnection connection) {
    TrackedConnection closed = open.remove(connection);
    if (closed == null) {
      return;
    }
    heldBuffers.remove(closed);
    closed.closed();
    if (closed.endRequest()) {
      busy.decrementAndGet();
    }
  }

  /**
   * Marks the connection of a request as busy until the exchange is complete.
   *
   * @return the memory that the head of the request takes, in bytes
   */
  long requestStarted(HttpServerExchange exchange) {
    AbstractServerConnection connection = (AbstractServerConnection) exchange.getConnection();
    TrackedConnection tracked = open.get(connection.getChannel());
    if (tracked == null) {
      return 0;
    }
    long headBytes = tracked.completeHead();
    tracked.checkChunks(exchange);
    if (connection.getExtraBytes() != null) {
      heldBuffers.put(tracked, connection);
      connection.getIoThread().execute(() -> freeBuffer(tracked));
    }
    if (tracked.beginRequest()) {
      busy.incrementAndGet();
    }
    exchange.addExchangeCompleteListener(
        (completed, next) -> {
          if (tracked.endRequest()) {
            busy.decrementAndGet();
          }
          if (connection.getExtraBytes() == null) {
            tracked.markBoundary();
          }
          next.proceed();
        });
    return headBytes;
  }

  /**
   * Frees the pooled buffer with what came behind a request, before its response begins: while
   * there is one, Undertow keeps the buffer of the response as well until a later response.
   */
  void freeBuffer(HttpServerExchange exchange) {
    AbstractServerConnection connection = (AbstractServerConnection) exchange.getConnection();
    TrackedConnection tracked = open.get(connection.getChannel());
    if (tracked != null && connection.getExtraBytes() != null) {
      tracked.freeBuffer(connection);
    }
  }

  private void freeBuffer(TrackedConnection tracked) {
    AbstractServerConnection connection = heldBuffers.remove(tracked);
    if (connection != null) {
      tracked.freeBuffer(connection);
    }
  }

  /**
   * Frees the pooled buffers that tasks of this thread are about to free. So many connections may
   * be read before these tasks run that no buffer is left for anybody else.
   */
  void freeHeldBuffers() {
    for (TrackedConnection tracked : heldBuffers.keySet()) {
      if (tracked.thread() == Thread.currentThread()) {
        freeBuffer(tracked);
      }
    }
  }

  /** Returns the bytes of memory that unfinished heads take. */
  long unfinishedHeadBytes() {
    return unfinishedHeads.held();
  }

  /** Returns the number of connections given up for the memory of their heads. */
  long givenUp() {
    return unfinishedHeads.givenUp();
  }

  /** Counts a request that was rejected as its body arrived too slowly. */
  void countSlowBody() {
    slowBodies.incrementAndGet();
  }

  /** Returns the number of requests rejected as their body arrived too slowly. */
  long slowBodies() {
    return slowBodies.get();
  }

  /** Returns the number of requests in flight whose head has been read. */
  int busyCount() {
    return busy.get();
  }

  /** Returns the number of open connections. */
  int openCount() {
    return open.size();
  }

  /** Returns whether connections are to be closed after their current response. */
  boolean isDraining() {
    return draining;
  }

  /** Connections are to be closed after their response from now on. */
  void drain() {
    draining = true;
  }

  /** Closes the connections that have carried a request and are idle now. */
  void closeUsedIdle() {
    onOwnThreads(
        connection -> {
          if (connection.isUsed()) {
            connection.closeIfIdle();
          }
        });
  }

  /** Closes the connections that are idle now, even if no request has arrived on them yet. */
  void closeIdle() {
    onOwnThreads(TrackedConnection::closeIfIdle);
  }

  /** Closes all connections. */
  void closeAll() {
    onOwnThreads(TrackedConnection::close);
  }

  private void onOwnThreads(Consumer<TrackedConnection> action) {
    Collection<List<TrackedConnection>> byThread =
        open.values().stream().collect(Collectors.groupingBy(TrackedConnection::thread)).values();
    for (List<TrackedConnection> connections : byThread) {
      XnioIoThread thread = connections.get(0).thread();
      try {
        thread.execute(() -> connections.forEach(action));
      } catch (RejectedExecutionException e) {
        log.debug("the I/O thread has ended: {}", e.getMessage());
      }
    }
  }
}
