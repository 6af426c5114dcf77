package io.jacinthquay.decision.retry;

import io.jacinthquay.decision.count.SlidingWindowCounter;

/**
 * Limits retries to a share of recent requests, so that retries don't amplify an outage.
 *
 * <pre>{@code
 * budget.requested();              // each first attempt
 * budget.succeeded(now);           // each complete answer
 * if (budget.tryTake(now)) { ... } // each retry
 * }</pre>
 *
 * <p>Two limits apply together. Over any period, retries stay within {@link #SHARE} of the first
 * attempts plus {@link #BURST}. Within {@link #WINDOW_NANOS}, they stay within {@link #SHARE} of
 * the successes plus one, so that retries soon stop in a full outage. Not thread-safe.
 */
public final class RetryBudget {
  /** Retries per first attempt and per success. */
  public static final double SHARE = 0.1;

  /** Most retries that may be saved up for a burst. */
  public static final double BURST = 10;

  /** Time after which a success no longer earns retries, in nanoseconds. */
  public static final long WINDOW_NANOS = 10_000_000_000L;

  private static final int STEPS = 10;
  private static final long STEP_NANOS = WINDOW_NANOS / STEPS;

  private final SlidingWindowCounter successes = new SlidingWindowCounter(STEPS, STEP_NANOS);
  private final SlidingWindowCounter retries = new SlidingWindowCounter(STEPS, STEP_NANOS);
  private double earned = 1;

  /** Records a first attempt. */
  public void requested() {
    earned = Math.min(BURST, earned + SHARE);
  }

  /** Records a complete answer. */
  public void succeeded(long nowNanos) {
    successes.add(nowNanos);
  }

  /** Takes one retry if the budget allows it. */
  public boolean tryTake(long nowNanos) {
    if (earned < 1 || retries.sum(nowNanos) + 1 > SHARE * successes.sum(nowNanos) + 1) {
      return false;
    }
    earned -= 1;
    retries.add(nowNanos);
    return true;
  }
}
