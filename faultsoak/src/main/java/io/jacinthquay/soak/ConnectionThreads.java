package io.jacinthquay.soak;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * The threads of all connections that servers and links of the soak hold.
 *
 * <p>The virtual machine starts one thread at a time and waits until it runs. On a busy machine
 * that takes milliseconds, so that connections which need new threads would wait for each other,
 * and checks would judge that wait as the delay of a router.
 */
final class ConnectionThreads {
  private static final ExecutorService THREADS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task, "soak-connection");
            thread.setDaemon(true);
            return thread;
          });

  private ConnectionThreads() {}

  /** Runs a task on a thread that is idle, or on a new one. */
  static void execute(Runnable task) {
    THREADS.execute(task);
  }

  /** Starts threads until as many are idle; an idle thread ends after a minute. */
  static void prepare(int count) throws InterruptedException {
    CountDownLatch running = new CountDownLatch(count);
    for (int i = 0; i < count; i++) {
      THREADS.execute(
          () -> {
            running.countDown();
            awaitAll(running);
          });
    }
    running.await();
  }

  private static void awaitAll(CountDownLatch running) {
    try {
      running.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
