package io.jacinthquay.wire.transport;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Bounds the bytes of incomplete messages over all connections of a server, and closes the
 * connections that have waited longest for more bytes when they are short.
 *
 * <p>Load pattern: connections that announce large messages and send them slowly, partly or not at
 * all. What is announced costs nothing; only bytes that have arrived are counted.
 *
 * <p>Used on the selector thread.
 */
final class FrameBudget {
  private static final Logger log = LogManager.getLogger();

  /** Calls between VMs take milliseconds and time out after seconds. */
  static final long MAX_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(10);

  private static final long CHECK_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final long maxBytes;
  private final int maxConnections;
  private final Set<FrameSocket> open = new HashSet<>();
  private long heldBytes;
  private long checkedNanos;
  private volatile long closed;

  /**
   * Returns an empty budget.
   *
   * @param maxBytes most bytes of incomplete messages
   * @param maxConnections most open connections
   */
  FrameBudget(long maxBytes, int maxConnections) {
    this.maxBytes = maxBytes;
    this.maxConnections = maxConnections;
  }

  /** Adds a connection; closes the one that has been silent for longest if there are too many. */
  void opened(FrameSocket socket, long nowNanos) {
    open.add(socket);
    if (open.size() > maxConnections) {
      slowestFirst(nowNanos).stream().limit(1).forEach(this::giveUp);
    }
    closeStalled(nowNanos);
  }

  void closed(FrameSocket socket) {
    open.remove(socket);
  }

  /**
   * Reserves bytes for an incomplete message, if need be by closing other connections.
   *
   * @return whether the bytes are reserved
   */
  boolean tryReserve(FrameSocket socket, long bytes, long nowNanos) {
    closeStalled(nowNanos);
    if (heldBytes + bytes > maxBytes) {
      for (FrameSocket slow : slowestFirst(nowNanos)) {
        if (heldBytes + bytes > maxBytes && slow != socket && slow.heldBytes() > 0) {
          giveUp(slow);
        }
      }
    }
    if (heldBytes + bytes > maxBytes) {
      return false;
    }
    heldBytes += bytes;
    return true;
  }

  void release(long bytes) {
    heldBytes -= bytes;
  }

  /** Returns the bytes held by incomplete messages. */
  long heldBytes() {
    return heldBytes;
  }

  /** Returns how many connections were closed; may be called by any thread. */
  long closedConnections() {
    return closed;
  }

  private List<FrameSocket> slowestFirst(long nowNanos) {
    return open.stream()
        .filter(FrameSocket::mayBeClosed)
        .sorted(Comparator.comparingLong((FrameSocket socket) -> -socket.pauseNanos(nowNanos)))
        .toList();
  }

  /** Closes connections within a message that have sent nothing for too long. */
  private void closeStalled(long nowNanos) {
    if (nowNanos - checkedNanos < CHECK_NANOS) {
      return;
    }
    checkedNanos = nowNanos;
    open.stream()
        .filter(socket -> socket.isInMessage() && socket.pauseNanos(nowNanos) > MAX_PAUSE_NANOS)
        .toList()
        .forEach(this::giveUp);
  }

  private void giveUp(FrameSocket socket) {
    closed++;
    log.debug("closes a connection with {} bytes of an incomplete message", socket.heldBytes());
    socket.close();
  }
}
