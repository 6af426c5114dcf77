package io.jacinthquay.model;

/**
 * One usage window, the span of time over which work is counted and reported.
 *
 * <pre>{@code
 * long start = UsageWindow.at(nowMillis).startMillis();
 * }</pre>
 *
 * @param startMillis its start, in milliseconds since the epoch, a multiple of {@link
 *     #LENGTH_MILLIS}
 */
public record UsageWindow(long startMillis) {
  /** Length of every window in milliseconds. */
  public static final long LENGTH_MILLIS = 20_000;

  /** Number of shards over which customers are spread; each is sealed and reported on its own. */
  public static final int SHARDS = 16;

  /**
   * Checks the start.
   *
   * @throws IllegalArgumentException if it is negative or no multiple of the length
   */
  public UsageWindow {
    if (startMillis < 0 || startMillis % LENGTH_MILLIS != 0) {
      throw new IllegalArgumentException("a window starts at a multiple of " + LENGTH_MILLIS);
    }
  }

  /**
   * Returns the window that holds an instant.
   *
   * @param millis the instant, in milliseconds since the epoch
   */
  public static UsageWindow at(long millis) {
    return new UsageWindow(millis - Math.floorMod(millis, LENGTH_MILLIS));
  }

  /** Returns the end, which is the start of the next window, in milliseconds since the epoch. */
  public long endMillis() {
    return startMillis + LENGTH_MILLIS;
  }

  /** Returns the shard of a customer, 0 to {@link #SHARDS} - 1. */
  public static int shardOf(String customer) {
    return Math.floorMod(customer.hashCode(), SHARDS);
  }
}
