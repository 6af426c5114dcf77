package io.jacinthquay.router.adapter.http;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A budget of bytes, shared by all connections, for bodies that are being read and for data that is
 * read ahead.
 */
final class BufferBudget {
  private final AtomicLong freeBytes;

  BufferBudget(long bytes) {
    this.freeBytes = new AtomicLong(bytes);
  }

  /** Reserves a number of bytes; returns false if fewer are free. */
  boolean tryReserve(long bytes) {
    long remaining = freeBytes.addAndGet(-bytes);
    if (remaining >= 0) {
      return true;
    }
    freeBytes.addAndGet(bytes);
    return false;
  }

  /** Returns reserved bytes to the budget. */
  void release(long bytes) {
    freeBytes.addAndGet(bytes);
  }
}
