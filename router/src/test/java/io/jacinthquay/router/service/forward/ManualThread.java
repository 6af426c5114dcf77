package io.jacinthquay.router.service.forward;

import io.jacinthquay.router.port.EventThread;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** An event thread whose tasks and timers run when a test says so, timers in any order. */
final class ManualThread implements EventThread {
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

  /** Fires one of the pending timers that wait at most so long, if there is one. */
  void fireTimer(int pick, long mostMillis) {
    List<Timer> found = timers.stream().filter(t -> t.delayMillis <= mostMillis).toList();
    if (!found.isEmpty()) {
      Timer timer = found.get(pick % found.size());
      timers.remove(timer);
      timer.task.run();
    }
  }

  /** Fires the timers that wait at least so long, in the order in which they were set. */
  void fireTimersOf(long leastMillis) {
    for (Timer timer : List.copyOf(timers)) {
      if (timer.delayMillis >= leastMillis && timers.remove(timer)) {
        timer.task.run();
      }
    }
  }

  /** Runs tasks and timers, those that they leave too, for at most so many rounds. */
  void runAll(int mostRounds) {
    for (int round = 0; round < mostRounds && !(tasks.isEmpty() && timers.isEmpty()); round++) {
      for (int left = tasks.size(); left > 0; left--) {
        runTask();
      }
      fireTimersOf(0);
    }
  }
}
