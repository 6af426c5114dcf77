package io.jacinthquay.decision.retry;

/**
 * One router's share of a retry budget that all routers keep together.
 *
 * <p>The budget of a pool in any window is a ratio of the first sends plus a fixed extra. Each
 * router spends at most the ratio of its own first sends of the last half window plus an equal part
 * of the extra, so that the sum holds in every window without talking to each other.
 */
public final class SharedRetryBudget {
  private static final int CELLS = 20;

  /** Share of the budget that is used, so that windows that meet cells at their edges hold it. */
  private static final double USED_SHARE = 0.7;

  private final double ratio;
  private final double extra;
  private final long cellNanos;
  private final int[] firsts = new int[CELLS];
  private final int[] repeats = new int[CELLS];
  private long currentCell = Long.MIN_VALUE;

  /**
   * Returns a budget.
   *
   * @param ratio repeats per first send, 0 or more
   * @param extra repeats in a window beside, over all routers, 0 or more
   * @param windowNanos length of the window, 1 second or more
   */
  public SharedRetryBudget(double ratio, double extra, long windowNanos) {
    if (ratio < 0 || extra < 0 || windowNanos < 1_000_000_000L) {
      throw new IllegalArgumentException("a retry budget has a number out of range");
    }
    this.ratio = ratio;
    this.extra = extra;
    this.cellNanos = windowNanos / CELLS;
  }

  /** Records the first send of a request. */
  public void sent(long now) {
    advance(now);
    firsts[cell()]++;
  }

  /**
   * Takes one repeat if the budget holds it.
   *
   * @param routers routers that share the extra, 1 or more
   */
  public boolean tryTake(int routers, long now) {
    advance(now);
    if (sum(repeats) + 1 > USED_SHARE * (ratio * sum(firsts) + extra / Math.max(1, routers))) {
      return false;
    }
    repeats[cell()]++;
    return true;
  }

  private int cell() {
    return (int) Math.floorMod(currentCell, (long) CELLS);
  }

  private void advance(long now) {
    long target = Math.floorDiv(now, cellNanos);
    if (currentCell == Long.MIN_VALUE) {
      currentCell = target;
    }
    long steps = Math.min(CELLS, target - currentCell);
    for (long step = steps - 1; step >= 0; step--) {
      currentCell = target - step;
      firsts[cell()] = 0;
      repeats[cell()] = 0;
    }
  }

  private static int sum(int[] cells) {
    int sum = 0;
    for (int cell : cells) {
      sum += cell;
    }
    return sum;
  }
}
