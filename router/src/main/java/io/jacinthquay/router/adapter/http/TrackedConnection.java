package io.jacinthquay.router.adapter.http;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.AbstractServerConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/** The state of a caller's connection; used on the I/O thread of the connection. */
final class TrackedConnection {
  private final StreamConnection connection;
  private final ReadAheadSource source;
  private final FairBound<TrackedConnection> unfinishedHeads;
  private final InetAddress peer;
  private boolean used;
  private boolean busy;

  TrackedConnection(
      StreamConnection connection,
      ReadAheadSource source,
      FairBound<TrackedConnection> unfinishedHeads) {
    this.connection = connection;
    this.source = source;
    this.unfinishedHeads = unfinishedHeads;
    this.peer = connection.getPeerAddress(InetSocketAddress.class).getAddress();
    source.setHeadCostListener(this::holdHead);
  }

  private void holdHead(long bytes) {
    closeAll(unfinishedHeads.hold(peer, this, bytes));
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
    return source.beginRequest();
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
