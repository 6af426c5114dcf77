package io.jacinthquay.decision.retry;

/**
 * How many routers share a bound, as one of them may take it.
 *
 * <p>Answers the moments in which nobody knows: a leader that has just taken over has heard of one
 * router, then of two. A share that grew with that would be spent by every router at once, so a
 * lower count is believed only after it has stood, and none right after a start. Not thread-safe.
 */
public final class RouterCount {
  /** Time for which a higher count holds, in nanoseconds: what a leader keeps a silent router. */
  private static final long HELD_NANOS = 6_000_000_000L;

  /** Time after the first count in which others are still heard of, in nanoseconds. */
  private static final long SETTLE_NANOS = 1_000_000_000L;

  /** What is assumed until then: shares of it are next to nothing. */
  private static final int MANY = 1_000;

  private int held = 1;
  private long heldAt;
  private long firstAt;
  private boolean told;

  /**
   * Takes in a count.
   *
   * @param count routers that the leader knows, the asking one included
   */
  public void told(int count, long now) {
    if (!told) {
      told = true;
      firstAt = now;
    }
    if (count >= held || now - heldAt > HELD_NANOS) {
      held = Math.max(1, count);
      heldAt = now;
    }
  }

  /** Returns the routers that share; 1 for a router that was never told of others. */
  public int value(long now) {
    return told && now - firstAt < SETTLE_NANOS ? Math.max(MANY, held) : held;
  }
}
