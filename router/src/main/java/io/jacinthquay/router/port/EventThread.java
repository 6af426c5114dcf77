package io.jacinthquay.router.port;

import java.util.concurrent.Executor;

/** The thread that handles all events of a request. */
public interface EventThread extends Executor {
  /**
   * Runs a task after a delay.
   *
   * @param delayMillis the delay in milliseconds, 0 or more
   * @return a handle that cancels the task if it has not started
   */
  Runnable after(long delayMillis, Runnable task);
}
