package io.jacinthquay.router.service.forward;

import io.jacinthquay.router.port.EventThread;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** An event thread whose tasks and timers a test runs explicitly, timers in any order. */
public final class ManualEventThread implements EventThread {
  private static final class Timer {
    private final long delayMillis;
    private final Runnable task;

    Timer(long delayMillis, Runnable task) {
      this.delayMillis = delayMillis;
      this.task = task;
    }
  }

  private final Deque<Runnable> tasks = new ArrayDeque<>();
  private final List<Timer> timers = new ArrayList<>();

  @Override
  public void execute(Runnable task) {
    tasks.add(task);
  }

  @Override
  public Runnable after(long delayMillis, Runnable task) {
    Timer timer = new Timer(delayMillis, task);
    timers.add(timer);
    return () -> timers.remove(timer);
  }

  /** Runs the oldest task, if there is one. */
  void runTask() {
    Runnable task = tasks.poll();
    if (task != null) {
      task.run();
    }
  }

  /** Fires one of the pending timers with a delay up to the given one, if there is any. */
  void fireTimer(int pick, long maxDelayMillis) {
    List<Timer> matching = timers.stream().filter(t -> t.delayMillis <= maxDelayMillis).toList();
    if (!matching.isEmpty()) {
      Timer timer = matching.get(pick % matching.size());
      timers.remove(timer);
      timer.task.run();
    }
  }

  /** Fires the timers with at least the given delay, in the order in which they were set. */
  public void fireTimers(long minDelayMillis) {
    for (Timer timer : List.copyOf(timers)) {
      if (timer.delayMillis >= minDelayMillis && timers.remove(timer)) {
        timer.task.run();
      }
    }
  }

  /** Runs all tasks and timers, including those they schedule, for at most the given rounds. */
  void runAll(int maxRounds) {
    for (int round = 0; round < maxRounds && !(tasks.isEmpty() && timers.isEmpty()); round++) {
      for (int left = tasks.size(); left > 0; left--) {
        runTask();
      }
      fireTimers(0);
    }
  }
}
