package io.jacinthquay.router.port;

import java.util.concurrent.TimeUnit;

/**
 * A timer for a check of what has arrived from upstreams; used on the event thread only.
 *
 * <p>Timers run before sockets are read. After a pause of the process, data may wait in a socket,
 * so a check that is late is postponed once until the thread has read its sockets. A postponed
 * check always runs, so that a thread that is late all the time still finds silent upstreams.
 */
public final class ArrivalTimer {
  /** Delay from which a check is late; timers of a thread that isn't paused are less late. */
  private static final long LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

  /** Time until a postponed check, in milliseconds, in which the thread reads its sockets. */
  private static final long POSTPONED_MILLIS = 10;

  private final EventThread thread;
  private final Runnable check;
  private final long dueNanos;
  private Runnable cancelTimer;

  private ArrivalTimer(EventThread thread, long delayMillis, Runnable check) {
    this.thread = thread;
    this.check = check;
    dueNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(delayMillis);
    cancelTimer = thread.after(delayMillis, this::runUnlessLate);
  }

  /**
   * Runs a check after a delay.
   *
   * @param delayMillis the delay in milliseconds, 0 or more
   * @return a handle that cancels the check if it has not started
   */
  public static Runnable after(EventThread thread, long delayMillis, Runnable check) {
    ArrivalTimer timer = new ArrivalTimer(thread, delayMillis, check);
    return () -> timer.cancelTimer.run();
  }

  private void runUnlessLate() {
    if (System.nanoTime() - dueNanos > LATE_NANOS) {
      cancelTimer = thread.after(POSTPONED_MILLIS, check);
    } else {
      check.run();
    }
  }
}
