package io.jacinthquay.bench.engine;

import java.util.PriorityQueue;

/** Runs events in the order of their virtual times; events of one time run in order of entry. */
public final class EventQueue {
  private record Event(long at, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      int byTime = Long.compare(at, other.at);
      return byTime != 0 ? byTime : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long now;
  private long entered;

  /** Returns the virtual time, in nanoseconds. */
  public long now() {
    return now;
  }

  /** Runs an action after a delay in nanoseconds, 0 or more. */
  public void after(long delayNanos, Runnable action) {
    events.add(new Event(now + Math.max(0, delayNanos), entered++, action));
  }

  /** Runs an action every interval in nanoseconds, for ever. */
  public void every(long intervalNanos, Runnable action) {
    after(
        intervalNanos,
        () -> {
          action.run();
          every(intervalNanos, action);
        });
  }

  /** Runs all events up to a time in nanoseconds. */
  public void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().at() <= endNanos) {
      Event event = events.poll();
      now = event.at();
      event.action().run();
    }
    now = Math.max(now, endNanos);
  }
}
