package io.jacinthquay.router.adapter.http;

import io.jacinthquay.decision.clients.ClientHolding;
import io.jacinthquay.decision.clients.SlowestHolders;
import io.jacinthquay.runtime.http.BufferBudget;
import java.net.InetAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongFunction;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Gives up the slowest callers when memory, pooled buffers or connections are short; for use by any
 * thread.
 *
 * <p>Nothing is counted or sorted while there is enough of all.
 */
final class ShortageGuard {
  private static final Logger log = LogManager.getLogger();

  /** Each shortage frees an eighth of the whole, so that not every request has to look again. */
  private static final int FREED_PART = 8;

  /** Time between two looks if the last one found nothing to give up, in nanoseconds. */
  private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private static final long LOG_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Callers may keep a connection idle for 15 s. */
  private static final long MIN_IDLE_MILLIS = 15_500;

  /** One kind of thing that is short. */
  private static final class Resource {
    private final String name;
    private final AtomicBoolean busy = new AtomicBoolean();
    private final AtomicLong closed = new AtomicLong();
    private volatile long nextNanos = System.nanoTime();
    private volatile long logNanos = System.nanoTime();

    Resource(String name) {
      this.name = name;
    }
  }

  private final ConnectionTracker connections;
  private final BufferBudget memory;
  private final SlowestHolders slowest;
  private final Resource bytes = new Resource("memory");
  private final Resource buffers = new Resource("buffers");
  private final Resource descriptors = new Resource("connections");

  ShortageGuard(ConnectionTracker connections, BufferBudget memory, int peerSharePercent) {
    this.connections = connections;
    this.memory = memory;
    this.slowest = new SlowestHolders(peerSharePercent / 100.0);
  }

  /** Frees memory. */
  void freeMemory(long missingBytes) {
    long whole = memory.maxBytes();
    free(
        bytes,
        now ->
            slowest.choose(
                holdings(connection -> connection.memoryHolding(now)),
                whole,
                missingBytes + whole / FREED_PART),
        TrackedConnection::giveUpMemory);
  }

  /** Frees pooled buffers that wait for callers who don't read. */
  void freeBuffers(int maxBuffers) {
    free(
        buffers,
        now ->
            slowest.choose(
                holdings(connection -> connection.bufferHolding(now)),
                maxBuffers,
                1 + maxBuffers / FREED_PART),
        connection -> TrackedConnection.closeAll(List.of(connection)));
  }

  /**
   * Closes connections on which no request is in progress: those that have been idle for longer
   * than callers may, else those without a request of addresses above their share.
   *
   * @param newPeer the address that asks for one more connection
   */
  void freeConnections(int maxConnections, InetAddress newPeer) {
    free(
        descriptors,
        now -> {
          List<ClientHolding<TrackedConnection>> quiet =
              holdings(connection -> connection.descriptorHolding(now));
          long needed = 1 + maxConnections / FREED_PART;
          List<ClientHolding<TrackedConnection>> idle =
              quiet.stream().filter(each -> each.idleMillis() >= MIN_IDLE_MILLIS).toList();
          List<ClientHolding<TrackedConnection>> unused =
              quiet.stream()
                  .filter(each -> each.connection().isUnused() && !each.peer().equals(newPeer))
                  .toList();
          return idle.isEmpty()
              ? slowest.chooseAboveShare(unused, maxConnections, needed)
              : slowest.choose(idle, maxConnections, needed);
        },
        connection -> TrackedConnection.closeAll(List.of(connection)));
  }

  /** Returns how many callers were given up for memory. */
  long givenUpForMemory() {
    return bytes.closed.get();
  }

  /** Returns how many connections were closed for their buffers. */
  long closedForBuffers() {
    return buffers.closed.get();
  }

  /** Returns how many connections were closed to make room for others. */
  long closedForConnections() {
    return descriptors.closed.get();
  }

  private List<ClientHolding<TrackedConnection>> holdings(
      Function<TrackedConnection, Optional<ClientHolding<TrackedConnection>>> holding) {
    return connections.connections().stream()
        .flatMap(each -> holding.apply(each).stream())
        .toList();
  }

  /** Giving up a caller may need memory itself, which must not begin the same work again. */
  private static void free(
      Resource resource,
      LongFunction<List<ClientHolding<TrackedConnection>>> choice,
      Consumer<TrackedConnection> giveUp) {
    long now = System.nanoTime();
    if (now - resource.nextNanos < 0 || !resource.busy.compareAndSet(false, true)) {
      return;
    }
    try {
      List<ClientHolding<TrackedConnection>> chosen = choice.apply(now);
      chosen.forEach(each -> giveUp.accept(each.connection()));
      resource.closed.addAndGet(chosen.size());
      if (chosen.isEmpty()) {
        resource.nextNanos = now + RETRY_NANOS;
      }
      report(resource, chosen.size(), now);
    } finally {
      resource.busy.set(false);
    }
  }

  private static void report(Resource resource, int closed, long now) {
    if (now - resource.logNanos >= 0) {
      resource.logNanos = now + LOG_NANOS;
      log.warn(
          "short for callers: {}; gave up {} slow callers, {} since the start",
          resource.name,
          closed,
          resource.closed.get());
    }
  }
}
