package io.jacinthquay.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A thread that handles tasks from a queue in batches. */
final class Worker<T> {
  /** Handles one batch, which is empty if no task arrived within the idle interval. */
  interface Handler<T> {
    void handle(List<T> batch);
  }

  private static final int MAX_BATCH = 1024;
  private static final long JOIN_TIMEOUT_MILLIS = 10_000;

  private final LinkedBlockingQueue<T> queue = new LinkedBlockingQueue<>();
  private final Handler<T> handler;
  private final long idleNanos;
  private final Thread thread;
  private volatile boolean stopping;

  Worker(String name, long idleNanos, Handler<T> handler) {
    this.handler = handler;
    this.idleNanos = idleNanos;
    thread = new Thread(this::run, name);
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  /** Queues a task without a limit, for tasks that must not be dropped. */
  void add(T task) {
    queue.add(task);
  }

  /** Queues a task if the queue is shorter than a limit; returns whether it was queued. */
  boolean offer(T task, int limit) {
    return queue.size() < limit && queue.add(task);
  }

  private void run() {
    List<T> batch = new ArrayList<>();
    while (!stopping || !queue.isEmpty()) {
      try {
        T first = queue.poll(idleNanos, TimeUnit.NANOSECONDS);
        if (first != null) {
          batch.add(first);
          queue.drainTo(batch, MAX_BATCH - 1);
        }
      } catch (InterruptedException e) {
        stopping = true;
      }
      handler.handle(batch);
      batch.clear();
    }
  }

  /** Handles the remaining tasks and ends the thread, waiting up to 10 s for it. */
  void stop() {
    stopping = true;
    try {
      thread.join(JOIN_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
