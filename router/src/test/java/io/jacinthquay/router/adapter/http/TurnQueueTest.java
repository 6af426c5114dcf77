package io.jacinthquay.router.adapter.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.XnioExecutor;

final class TurnQueueTest {
  private static final int CONNECTIONS = 1_000;
  private static final long TEST_NANOS = TimeUnit.SECONDS.toNanos(10);

  /** An I/O thread that runs all tasks that are due before it looks at other connections. */
  private static final class SimulatedThread implements XnioExecutor {
    private record Task(long nanos, Runnable command) {}

    private final PriorityQueue<Task> tasks =
        new PriorityQueue<>((a, b) -> Long.compare(a.nanos, b.nanos));
    private long nowNanos;
    private long busyNanos;
    private long idleNanos;
    private long longestBusyNanos;

    @Override
    public void execute(Runnable command) {
      tasks.add(new Task(nowNanos, command));
    }

    @Override
    public Key executeAfter(Runnable command, long time, TimeUnit unit) {
      tasks.add(new Task(nowNanos + unit.toNanos(time), command));
      return () -> false;
    }

    @Override
    public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
      throw new UnsupportedOperationException();
    }

    void work(long nanos) {
      nowNanos += nanos;
      busyNanos += nanos;
      longestBusyNanos = Math.max(longestBusyNanos, busyNanos);
    }

    void run() {
      while (nowNanos < TEST_NANOS) {
        Task next = tasks.remove();
        if (next.nanos > nowNanos) {
          idleNanos += next.nanos - nowNanos;
          nowNanos = next.nanos;
          busyNanos = 0;
        }
        next.command.run();
      }
    }
  }

  /** Turns that took longer than their spacing kept the thread from all other connections. */
  @ParameterizedTest
  @ValueSource(longs = {100, 900, 1_500, 20_000})
  void turnsWithoutEndLeaveHalfOfTheThread(long turnMicros) {
    SimulatedThread thread = new SimulatedThread();
    TurnQueue queue = new TurnQueue(thread, () -> thread.nowNanos);
    int[] turns = new int[CONNECTIONS];
    long turnNanos = TimeUnit.MICROSECONDS.toNanos(turnMicros);
    for (int i = 0; i < CONNECTIONS; i++) {
      int connection = i;
      queue.add(
          new Runnable() {
            @Override
            public void run() {
              turns[connection]++;
              thread.work(turnNanos);
              queue.add(this);
            }
          });
    }
    thread.run();
    assertTrue(thread.idleNanos >= TEST_NANOS / 2 - turnNanos, "idle for " + thread.idleNanos);
    long sliceNanos = TimeUnit.MILLISECONDS.toNanos(1) + turnNanos;
    assertTrue(thread.longestBusyNanos <= sliceNanos, "busy for " + thread.longestBusyNanos);
    assertEquals(turns[0], turns[CONNECTIONS - 1], 1, "turns of the first and the last");
  }
}
