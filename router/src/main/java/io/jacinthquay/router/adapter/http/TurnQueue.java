package io.jacinthquay.router.adapter.http;

import java.util.concurrent.atomic.AtomicInteger;

/**
 * Spaces the turns of connections that have more to read after their turn: about one turn a
 * millisecond over all of them, however many they are.
 *
 * <p>Load pattern: many connections with thousands of pipelined requests each. The I/O thread runs
 * all tasks before it looks at other connections, so that these would keep it from ever doing so.
 * For use by any thread.
 */
final class TurnQueue {
  private static final int TURN_MILLIS = 1;

  private final AtomicInteger waiting = new AtomicInteger();

  /** Adds a connection; returns the time until its turn, in milliseconds. */
  long add() {
    return (long) TURN_MILLIS * waiting.incrementAndGet();
  }

  /** Removes a connection whose turn has come. */
  void remove() {
    waiting.decrementAndGet();
  }
}
