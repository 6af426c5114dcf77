package io.jacinthquay.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

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
  private final Consumer<Throwable> onError;
  private final long idleNanos;
  private final Thread thread;
  private volatile boolean stopping;
  private volatile boolean ended;

  /**
   * Creates a worker whose thread goes on with the next batch if the handler throws.
   *
   * @param onError receives what the handler throws
   */
  Worker(String name, long idleNanos, Handler<T> handler, Consumer<Throwable> onError) {
    this.handler = handler;
    this.onError = onError;
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

  /**
   * Queues a task if the queue is shorter than a limit and the thread has not ended; returns
   * whether the task will be handled.
   */
  boolean offer(T task, int limit) {
    if (ended || queue.size() >= limit) {
      return false;
    }
    queue.add(task);
    return !ended || !queue.remove(task);
  }

  private void run() {
    List<T> batch = new ArrayList<>();
    while (!stopping || !queue.isEmpty()) {
      fill(batch);
      handle(batch);
    }
    ended = true;
    queue.drainTo(batch);
    handle(batch);
  }

  private void fill(List<T> batch) {
    try {
      T first = queue.poll(idleNanos, TimeUnit.NANOSECONDS);
      if (first != null) {
        batch.add(first);
        queue.drainTo(batch, MAX_BATCH - 1);
      }
    } catch (InterruptedException e) {
      // Only stop() ends the thread.
      return;
    }
  }

  private void handle(List<T> batch) {
    try {
      handler.handle(batch);
    } catch (Throwable e) {
      onError.accept(e);
    } finally {
      batch.clear();
    }
  }

  /**
   * Handles the remaining tasks and ends the thread, waiting up to 10 s for it.
   *
   * @return whether the thread has ended
   */
  boolean stop() {
    stopping = true;
    try {
      thread.join(JOIN_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return !thread.isAlive();
  }
}
