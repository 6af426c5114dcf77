package io.jacinthquay.router.adapter.http;

import io.jacinthquay.decision.clients.ClientHolding;
import io.jacinthquay.runtime.http.BufferBudget;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import io.undertow.server.HttpServerExchange;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/** The state of a caller's connection; used on the I/O thread of the connection. */
final class TrackedConnection {
  private final StreamConnection connection;
  private final ReadAheadSource source;
  private final FairBound<TrackedConnection> unfinishedHeads;
  private final WriteWatch writes;
  private final Transfer transfer;
  private final BufferBudget.Reservation head;
  private final InetAddress peer;
  private long quietSinceNanos = System.nanoTime();
  private long headBytes;
  private boolean used;
  private boolean busy;

  TrackedConnection(
      StreamConnection connection,
      ReadAheadSource source,
      WriteWatch writes,
      FairBound<TrackedConnection> unfinishedHeads,
      BufferBudget memory) {
    this.connection = connection;
    this.source = source;
    this.writes = writes;
    this.transfer = source.transfer();
    this.unfinishedHeads = unfinishedHeads;
    this.head = BufferBudget.Reservation.ofAll(memory, Long.MAX_VALUE);
    this.peer = connection.getPeerAddress(InetSocketAddress.class).getAddress();
    source.setHeadCostListener(this::holdHead);
  }

  private void holdHead(long bytes) {
    if (!transfer.isActive()) {
      transfer.begin(this::close, 0);
    }
    closeAll(unfinishedHeads.hold(peer, this, bytes));
    if (!connection.isOpen()) {
      return;
    }
    boolean held = head.tryResize(bytes);
    if (!connection.isOpen()) {
      head.release();
    } else if (held) {
      transfer.moved(bytes - headBytes, head.reservedBytes());
      headBytes = bytes;
    } else {
      close();
    }
  }

  /** Returns what the connection holds of the shared memory and may be given up. */
  Optional<ClientHolding<TrackedConnection>> memoryHolding(long nowNanos) {
    if (transfer.isActive()) {
      return transfer.holding(this, peer, nowNanos);
    }
    long blockedMillis = writes.blockedMillis(nowNanos);
    return blockedMillis >= UndertowCaller.MIN_BLOCKED_MILLIS
        ? Optional.of(new ClientHolding<>(this, peer, source.aheadBytes(), blockedMillis, 0))
        : Optional.empty();
  }

  /** Returns the connection as the holder of a buffer, if its caller reads too slowly. */
  Optional<ClientHolding<TrackedConnection>> bufferHolding(long nowNanos) {
    return writes.isBlocked()
        ? Optional.of(new ClientHolding<>(this, peer, 1, writes.blockedMillis(nowNanos), 0))
        : Optional.empty();
  }

  /** Returns the connection as the holder of a descriptor, if no request is in progress on it. */
  Optional<ClientHolding<TrackedConnection>> descriptorHolding(long nowNanos) {
    long idleMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - quietSinceNanos);
    return busy ? Optional.empty() : Optional.of(new ClientHolding<>(this, peer, 1, idleMillis, 0));
  }

  /** Returns whether no request has been sent on the connection yet; for use by any thread. */
  boolean isUnused() {
    return !used;
  }

  /** Releases what the connection holds of the shared memory, on its own I/O thread. */
  void giveUpMemory() {
    Runnable release = transfer.isActive() ? transfer::giveUp : this::close;
    if (Thread.currentThread() == thread()) {
      release.run();
    } else {
      thread().execute(release);
    }
  }

  /** Closes connections that are given up, each on its own I/O thread. */
  static void closeAll(List<TrackedConnection> givenUp) {
    for (TrackedConnection connection : givenUp) {
      if (Thread.currentThread() == connection.thread()) {
        connection.close();
      } else {
        connection.thread().execute(connection::close);
      }
    }
  }

  /** Returns the address of the caller. */
  InetAddress peer() {
    return peer;
  }

  XnioIoThread thread() {
    return connection.getIoThread();
  }

  /** Returns whether a request has begun on the connection since it was accepted. */
  boolean isUsed() {
    assertOwnThread();
    return used;
  }

  /** Records that the head of a request is complete and returns the memory of it, in bytes. */
  long completeHead() {
    assertOwnThread();
    unfinishedHeads.release(peer, this);
    transfer.end();
    headBytes = 0;
    return source.beginRequest();
  }

  /** Begins to check the chunks of a request whose head is complete. */
  void checkChunks(HttpServerExchange exchange) {
    assertOwnThread();
    source.checkChunks(exchange);
  }

  /**
   * Frees the pooled buffer of a connection whose later bytes wait for the end of a request, if
   * there is other memory for them.
   */
  void freeBuffer(AbstractServerConnection http) {
    assertOwnThread();
    PooledByteBuffer buffer = http.getExtraBytes();
    if (buffer != null && source.takeBack(buffer.getBuffer())) {
      http.setExtraBytes(null);
      buffer.close();
    }
  }

  /** Forgets the head that was being read when the connection closed. */
  void closed() {
    unfinishedHeads.release(peer, this);
    head.release();
    transfer.end();
  }

  /** Returns whether the connection becomes busy by this. */
  boolean beginRequest() {
    assertOwnThread();
    boolean changed = !busy;
    used = true;
    busy = true;
    return changed;
  }

  /** Returns whether the connection was busy before. */
  boolean endRequest() {
    assertOwnThread();
    boolean changed = busy;
    busy = false;
    quietSinceNanos = System.nanoTime();
    head.release();
    source.endRequest();
    return changed;
  }

  /** Records that all bytes read so far belong to requests that are complete. */
  void markBoundary() {
    assertOwnThread();
    source.markBoundary();
  }

  /** Closes the connection unless a request, or a part of one, has arrived. */
  void closeIfIdle() {
    assertOwnThread();
    if (!busy && !source.hasReceived()) {
      close();
    }
  }

  void close() {
    assertOwnThread();
    IoUtils.safeClose(connection);
  }

  private void assertOwnThread() {
    assert Thread.currentThread() == thread()
        : "a connection of " + thread() + " was used on " + Thread.currentThread();
  }
}
