package io.jacinthquay.router.adapter.http;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the bytes of all bodies that are being read and of all that is read ahead. */
final class BodyMemory {
  private final AtomicLong free;

  BodyMemory(long bytes) {
    this.free = new AtomicLong(bytes);
  }

  boolean tryTake(long bytes) {
    long left = free.addAndGet(-bytes);
    if (left >= 0) {
      return true;
    }
    free.addAndGet(bytes);
    return false;
  }

  void giveBack(long bytes) {
    free.addAndGet(bytes);
  }
}
