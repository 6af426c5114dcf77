package io.jacinthquay.decision.count;

/**
 * Counts events in a sliding time window, which advances in steps. Not thread-safe.
 *
 * <p>Times are monotonic, in any unit; an earlier time than the newest counts as the newest.
 */
public final class SlidingWindowCounter {
  private final int[] counts;
  private final long stepLength;
  private long newestStep = Long.MIN_VALUE;

  /**
   * Returns an empty counter.
   *
   * @param steps number of steps in the window, 1 or more
   * @param stepLength length of a step, in the unit of the times, 1 or more
   * @throws IllegalArgumentException if {@code steps} or {@code stepLength} is below 1
   */
  public SlidingWindowCounter(int steps, long stepLength) {
    if (steps < 1 || stepLength < 1) {
      throw new IllegalArgumentException("steps and stepLength must be 1 or more");
    }
    this.counts = new int[steps];
    this.stepLength = stepLength;
  }

  /** Adds one event. */
  public void add(long now) {
    counts[advance(now)]++;
  }

  /** Returns the number of events in the window that ends now. */
  public long sum(long now) {
    advance(now);
    long sum = 0;
    for (int count : counts) {
      sum += count;
    }
    return sum;
  }

  /**
   * Returns the number of events in a part of the window.
   *
   * @param skipped newest steps that are left out, 0 or more
   * @param steps steps that are counted, 0 or more
   * @throws IllegalArgumentException if the part is not within the window
   */
  public long sum(long now, int skipped, int steps) {
    if (skipped < 0 || steps < 0 || skipped + steps > counts.length) {
      throw new IllegalArgumentException("the part must be within the window");
    }
    int newest = advance(now);
    long sum = 0;
    for (int age = skipped; age < skipped + steps; age++) {
      sum += counts[Math.floorMod(newest - age, counts.length)];
    }
    return sum;
  }

  /** Clears the steps that have left the window and returns the index of the current one. */
  private int advance(long now) {
    long step = Math.max(Math.floorDiv(now, stepLength), newestStep);
    long oldest = step - counts.length + 1;
    for (long cleared = Math.max(newestStep + 1, oldest); cleared <= step; cleared++) {
      counts[Math.floorMod(cleared, counts.length)] = 0;
    }
    newestStep = step;
    return Math.floorMod(step, counts.length);
  }
}
