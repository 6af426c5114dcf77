package io.jacinthquay.decision.retry;

/**
 * A router's part of a bound that all routers share, from the counts that the leader reports.
 *
 * <p>A new leader hears of the routers one by one, and a leader forgets those that it doesn't hear,
 * though they still serve requests. Three rules keep the sum of the parts at one or less without
 * communication among routers, through leader changes, times without a leader, partitions and
 * restarts in series:
 *
 * <ul>
 *   <li>A part is a lease: it ends one window after the last report.
 *   <li>A router has no part until it has had reports for a whole window, so that those who shared
 *       the bound before it have counted it, and what its previous run spent has left the window.
 *   <li>A lower count is used once lower counts were reported without a gap for two windows: the
 *       leases of the routers that are not counted have ended by then, and what they spent has left
 *       the window.
 * </ul>
 *
 * <p>Not thread-safe.
 */
public final class RouterCount {
  /** Time without a report after which lower counts have to be reported anew, in nanoseconds. */
  private static final long MAX_GAP_NANOS = 2_000_000_000L;

  /**
   * Time after the first count in which the leader still hears of other routers, in nanoseconds.
   */
  private static final long SETTLE_NANOS = 1_000_000_000L;

  /** Count assumed until then; large, so that a share of the bound is close to zero. */
  private static final int ASSUMED_COUNT = 1_000;

  private final long windowNanos;
  private int held = 1;
  private int highestLower;
  private long lowerSince;
  private long firstAt;
  private long leasedSince;
  private long updatedAt;
  private boolean updated;

  /**
   * Returns a count without a report.
   *
   * @param windowNanos length of the window of the bound, in nanoseconds, above 0
   * @throws IllegalArgumentException if the window is not above 0
   */
  public RouterCount(long windowNanos) {
    if (windowNanos <= 0) {
      throw new IllegalArgumentException("the window must be above 0");
    }
    this.windowNanos = windowNanos;
  }

  /**
   * Updates the count.
   *
   * @param count routers that the leader knows, including this one
   */
  public void update(int count, long now) {
    if (!updated) {
      firstAt = now;
    }
    if (!updated || now - updatedAt > windowNanos) {
      leasedSince = now;
    }
    boolean afterGap = !updated || now - updatedAt > MAX_GAP_NANOS;
    updated = true;
    updatedAt = now;
    if (count >= held) {
      held = count;
      highestLower = 0;
      return;
    }
    if (highestLower == 0 || afterGap) {
      highestLower = Math.max(1, count);
      lowerSince = now;
    }
    highestLower = Math.max(highestLower, count);
    if (now - lowerSince > 2 * windowNanos) {
      held = highestLower;
      highestLower = 0;
    }
  }

  /** Returns a conservative estimate of the number of routers; 1 if none was ever reported. */
  public int value(long now) {
    return updated && now - firstAt < SETTLE_NANOS ? Math.max(ASSUMED_COUNT, held) : held;
  }

  /** Returns this router's part of a bound that all routers share, 0 to 1. */
  public double share(long now) {
    boolean leased = updated && now - updatedAt <= windowNanos;
    return leased && now - leasedSince >= windowNanos ? 1.0 / held : 0;
  }
}
