package io.jacinthquay.router.adapter.http;

import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/** The state of a caller's connection; used on the I/O thread of the connection. */
final class TrackedConnection {
  private final StreamConnection connection;
  private final ReadAheadSource source;
  private boolean used;
  private boolean busy;

  TrackedConnection(StreamConnection connection, ReadAheadSource source) {
    this.connection = connection;
    this.source = source;
  }

  XnioIoThread thread() {
    return connection.getIoThread();
  }

  /** Returns whether a request has begun on the connection since it was accepted. */
  boolean isUsed() {
    assertOwnThread();
    return used;
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
