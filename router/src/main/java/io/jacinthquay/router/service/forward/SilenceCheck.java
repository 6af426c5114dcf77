package io.jacinthquay.router.service.forward;

import io.jacinthquay.router.port.ArrivalTimer;
import io.jacinthquay.router.port.EventThread;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Runs the check for silent upstreams at intervals; used on the I/O thread only.
 *
 * <p>How long an upstream may be silent is {@code SILENCE_MILLIS} of {@link
 * io.jacinthquay.decision.dispatch.UpstreamSelector}.
 */
final class SilenceCheck {
  /** Interval, in milliseconds. */
  private static final long INTERVAL_MILLIS = 100;

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
      ArrivalTimer.after(thread.get(), INTERVAL_MILLIS, this::run);
    }
  }

  private void run() {
    scheduled = false;
    if (check.getAsBoolean()) {
      schedule();
    }
  }
}
