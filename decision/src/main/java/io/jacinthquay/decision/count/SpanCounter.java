package io.jacinthquay.decision.count;

/**
 * Counts events of the last span of time, in steps that are forgotten one by one. Not thread-safe.
 *
 * <p>Time is a number in any unit that doesn't run backwards; an earlier one counts as the newest.
 */
public final class SpanCounter {
  private final int[] counts;
  private final long stepLength;
  private long newestStep = Long.MIN_VALUE;

  /**
   * Returns a counter without events.
   *
   * @param steps steps of the span, 1 or more
   * @param stepLength length of a step in the unit of time, 1 or more
   * @throws IllegalArgumentException if a number is below 1
   */
  public SpanCounter(int steps, long stepLength) {
    if (steps < 1 || stepLength < 1) {
      throw new IllegalArgumentException("a span has one step or more, each of some length");
    }
    this.counts = new int[steps];
    this.stepLength = stepLength;
  }

  /** Counts one event. */
  public void add(long now) {
    counts[advance(now)]++;
  }

  /** Returns the events of the span that ends now. */
  public long sum(long now) {
    advance(now);
    long sum = 0;
    for (int count : counts) {
      sum += count;
    }
    return sum;
  }

  /** Forgets the steps that have left the span and returns the place of the current one. */
  private int advance(long now) {
    long step = Math.max(Math.floorDiv(now, stepLength), newestStep);
    long oldest = step - counts.length + 1;
    for (long s = Math.max(newestStep + 1, oldest); s <= step; s++) {
      counts[Math.floorMod(s, counts.length)] = 0;
    }
    newestStep = step;
    return Math.floorMod(step, counts.length);
  }
}
