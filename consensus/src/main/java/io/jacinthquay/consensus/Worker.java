package io.jacinthquay.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** One thread that takes tasks from a queue in batches. */
final class Worker<T> {
  /** Handles one batch; an empty one when no task came for an idle interval. */
  interface Handler<T> {
    void handle(List<T> batch);
  }

  private static final int MAX_BATCH = 1024;
  private static final long JOIN_MILLIS = 10_000;

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

  /** Queues a task that must not be lost. */
  void add(T task) {
    queue.add(task);
  }

  /** Queues a task unless the queue is longer than a limit. */
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

  /** Finishes the queue and ends the thread. */
  void stop() {
    stopping = true;
    try {
      thread.join(JOIN_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
