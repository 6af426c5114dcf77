package io.jacinthquay.decision.retry;

/**
 * A router's conservative estimate of how many routers share a bound.
 *
 * <p>A new leader hears of the routers one by one, so its first counts are too low. Shares based on
 * them would let all routers together exceed the bound. A lower count is therefore used only after
 * a hold time, and no count is used right after a start. Not thread-safe.
 */
public final class RouterCount {
  /**
   * Time for which a higher count is held, in nanoseconds; as long as a leader counts a silent
   * router.
   */
  private static final long HOLD_NANOS = 6_000_000_000L;

  /**
   * Time after the first count in which the leader still hears of other routers, in nanoseconds.
   */
  private static final long SETTLE_NANOS = 1_000_000_000L;

  /** Count assumed until then; large, so that a share of the bound is close to zero. */
  private static final int ASSUMED_COUNT = 1_000;

  private int held = 1;
  private long heldAt;
  private long firstAt;
  private boolean updated;

  /**
   * Updates the count.
   *
   * @param count routers that the leader knows, including this one
   */
  public void update(int count, long now) {
    if (!updated) {
      updated = true;
      firstAt = now;
    }
    if (count >= held || now - heldAt > HOLD_NANOS) {
      held = Math.max(1, count);
      heldAt = now;
    }
  }

  /** Returns the number of routers to divide a bound by; 1 if none was ever reported. */
  public int value(long now) {
    return updated && now - firstAt < SETTLE_NANOS ? Math.max(ASSUMED_COUNT, held) : held;
  }
}
