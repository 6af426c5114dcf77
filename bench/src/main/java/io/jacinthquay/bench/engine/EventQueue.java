package io.jacinthquay.bench.engine;

import java.util.PriorityQueue;

/** Runs events in the order of their virtual times; events of the same time run in FIFO order. */
public final class EventQueue {
  private record Event(long atNanos, long sequence, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long now;
  private long nextSequence;

  /** Returns the virtual time, in nanoseconds. */
  public long now() {
    return now;
  }

  /** Schedules an action after a delay in nanoseconds; a negative delay counts as 0. */
  public void after(long delayNanos, Runnable action) {
    events.add(new Event(now + Math.max(0, delayNanos), nextSequence++, action));
  }

  /** Schedules an action at a fixed interval in nanoseconds, without end. */
  public void every(long intervalNanos, Runnable action) {
    after(
        intervalNanos,
        () -> {
          action.run();
          every(intervalNanos, action);
        });
  }

  /** Runs all events up to and including a time in nanoseconds, and advances the time to it. */
  public void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
      Event event = events.poll();
      now = event.atNanos();
      event.action().run();
    }
    now = Math.max(now, endNanos);
  }
}
