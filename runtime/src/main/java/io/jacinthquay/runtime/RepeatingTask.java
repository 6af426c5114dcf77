package io.jacinthquay.runtime;

/**
 * Runs a step again and again, in a daemon thread of its own, until it is stopped.
 *
 * <p>The step waits for what it needs and so sets its own pace; the stop interrupts it. An
 * exception of a step other than an {@link InterruptedException} ends the thread, so a step that
 * has to go on after a failure catches it.
 */
public final class RepeatingTask implements Service {
  /** One step. */
  @FunctionalInterface
  public interface Step {
    /**
     * Runs once.
     *
     * @throws InterruptedException if it was interrupted; no further step is run
     */
    void run() throws InterruptedException;
  }

  private final Step step;
  private final Runnable end;
  private final Thread thread;
  private volatile boolean running;

  /**
   * Returns a task that has not started.
   *
   * @param name name of the thread
   * @param step runs until the stop
   * @param end runs once after the last step, in the same thread
   */
  public RepeatingTask(String name, Step step, Runnable end) {
    this.step = step;
    this.end = end;
    this.thread = new Thread(this::run, name);
    thread.setDaemon(true);
  }

  /** Returns a task that has nothing to do at its end. */
  public RepeatingTask(String name, Step step) {
    this(name, step, () -> {});
  }

  @Override
  public void start() {
    running = true;
    thread.start();
  }

  /** Ends the task after the current step, which is interrupted; doesn't wait for it. */
  @Override
  public void stop() {
    running = false;
    thread.interrupt();
  }

  /** Returns whether the task has started and was not stopped. */
  public boolean isRunning() {
    return running;
  }

  private void run() {
    try {
      while (running) {
        step.run();
      }
    } catch (InterruptedException e) {
      // Only the stop interrupts the thread, which ends here.
    } finally {
      running = false;
      end.run();
    }
  }
}
