package io.jacinthquay.router.adapter.http;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.xnio.XnioExecutor;

/**
 * Bounds the time that an I/O thread spends on connections whose next bytes were read ahead: half
 * of it at most, in turn over all of them.
 *
 * <p>Load pattern: many connections with thousands of pipelined requests each. The I/O thread runs
 * all tasks that are due before it looks at other connections, so that these would keep it from
 * ever doing so. For use on the I/O thread.
 */
final class TurnQueue {
  /** Time after which no further turn starts before the thread looks at other connections. */
  private static final long SLICE_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private final XnioExecutor thread;
  private final LongSupplier nanoClock;
  private final Queue<Runnable> waiting = new ArrayDeque<>();
  private boolean scheduled;

  TurnQueue(XnioExecutor thread) {
    this(thread, System::nanoTime);
  }

  TurnQueue(XnioExecutor thread, LongSupplier nanoClock) {
    this.thread = thread;
    this.nanoClock = nanoClock;
  }

  /** Runs a turn after those that wait already. */
  void add(Runnable turn) {
    waiting.add(turn);
    if (!scheduled) {
      scheduled = true;
      thread.execute(this::runSlice);
    }
  }

  /** Runs turns for one slice, then pauses for as long as they took. */
  private void runSlice() {
    if (waiting.isEmpty()) {
      scheduled = false;
      return;
    }
    long startNanos = nanoClock.getAsLong();
    long spentNanos = 0;
    try {
      while (spentNanos < SLICE_NANOS && !waiting.isEmpty()) {
        waiting.remove().run();
        spentNanos = nanoClock.getAsLong() - startNanos;
      }
    } finally {
      // Counts from the end of the turns: a task that is due already would run at once.
      long pauseMillis = 1 + TimeUnit.NANOSECONDS.toMillis(spentNanos);
      var unused = thread.executeAfter(this::runSlice, pauseMillis, TimeUnit.MILLISECONDS);
    }
  }
}
