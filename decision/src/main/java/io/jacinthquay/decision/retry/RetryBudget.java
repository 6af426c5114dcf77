package io.jacinthquay.decision.retry;

/**
 * Limits retries to a share of recent work, so that retries do not feed an outage.
 *
 * <pre>{@code
 * budget.requested(now);           // each first attempt
 * budget.succeeded(now);           // each whole answer
 * if (budget.tryTake(now)) { ... } // each retry
 * }</pre>
 *
 * <p>Two limits hold together. Over any time, retries stay within {@link #SHARE} of the first
 * attempts plus {@link #BURST}. Within {@link #WINDOW_NANOS}, they stay within {@link #SHARE} of
 * the successes plus one, so that a full outage soon sees none. Not thread-safe.
 */
public final class RetryBudget {
  /** Retries per first attempt and per success. */
  public static final double SHARE = 0.1;

  /** Retries that may be saved up for a burst. */
  public static final double BURST = 10;

  /** Time after which a success no longer earns retries, in nanoseconds. */
  public static final long WINDOW_NANOS = 10_000_000_000L;

  private static final int CELLS = 10;
  private static final long CELL_NANOS = WINDOW_NANOS / CELLS;

  private final int[] successes = new int[CELLS];
  private final int[] retries = new int[CELLS];
  private long currentCell;
  private boolean started;
  private double earned = 1;

  /** Records a first attempt. */
  public void requested(long nowNanos) {
    advance(nowNanos);
    earned = Math.min(BURST, earned + SHARE);
  }

  /** Records a whole answer. */
  public void succeeded(long nowNanos) {
    advance(nowNanos);
    successes[cell()]++;
  }

  /** Takes one retry if the budget holds it. */
  public boolean tryTake(long nowNanos) {
    advance(nowNanos);
    if (earned < 1 || sum(retries) + 1 > SHARE * sum(successes) + 1) {
      return false;
    }
    earned -= 1;
    retries[cell()]++;
    return true;
  }

  private int cell() {
    return (int) Math.floorMod(currentCell, (long) CELLS);
  }

  private void advance(long nowNanos) {
    long target = Math.floorDiv(nowNanos, CELL_NANOS);
    if (!started) {
      started = true;
      currentCell = target;
    }
    long steps = Math.min(CELLS, target - currentCell);
    for (long step = 0; step < steps; step++) {
      currentCell = target - steps + step + 1;
      successes[cell()] = 0;
      retries[cell()] = 0;
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
