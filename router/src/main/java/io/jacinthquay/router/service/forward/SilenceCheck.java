package io.jacinthquay.router.service.forward;

import io.jacinthquay.router.port.EventThread;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Runs the check for silent upstreams at intervals; used on the I/O thread only.
 *
 * <p>Timers run before sockets are read. After a stall of the router, such as a pause of the VM, an
 * answer may have arrived that isn't read yet, so a check that is late is postponed once until it
 * has been read.
 */
final class SilenceCheck {
  /** Interval, in milliseconds. */
  private static final long INTERVAL_MILLIS = 100;

  /** Delay from which a check is late: a part of the time for which an upstream may be silent. */
  private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Time until a postponed check, in milliseconds, in which the thread reads its sockets. */
  private static final long POSTPONED_MILLIS = 10;

  private final Supplier<EventThread> thread;
  private final BooleanSupplier check;
  private boolean scheduled;

  /**
   * Returns a check that isn't scheduled.
   *
   * @param check returns whether it must run again
   */
  SilenceCheck(Supplier<EventThread> thread, BooleanSupplier check) {
    this.thread = thread;
    this.check = check;
  }

  /** Schedules the check unless it is. */
  void schedule() {
    if (!scheduled) {
      scheduled = true;
      long dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(INTERVAL_MILLIS);
      thread.get().after(INTERVAL_MILLIS, () -> runUnlessLate(dueNanos));
    }
  }

  private void runUnlessLate(long dueNanos) {
    if (System.nanoTime() - dueNanos > LATE_NANOS) {
      thread.get().after(POSTPONED_MILLIS, this::run);
    } else {
      run();
    }
  }

  private void run() {
    scheduled = false;
    if (check.getAsBoolean()) {
      schedule();
    }
  }
}
