package io.jacinthquay.router.port;

import java.util.concurrent.Executor;

/** The thread on which everything about one request happens. */
public interface EventThread extends Executor {
  /**
   * Runs a task later.
   *
   * @param delayMillis time to wait, in milliseconds, 0 or more
   * @return cancels the task if it has not begun
   */
  Runnable after(long delayMillis, Runnable task);
}
