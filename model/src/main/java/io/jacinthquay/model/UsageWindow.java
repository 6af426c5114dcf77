package io.jacinthquay.model;

/**
 * A usage window, the interval over which usage is counted and reported.
 *
 * <pre>{@code
 * long start = UsageWindow.at(nowMillis).startMillis();
 * }</pre>
 *
 * @param startMillis the start, in milliseconds since the epoch, a multiple of {@link
 *     #LENGTH_MILLIS}
 */
public record UsageWindow(long startMillis) {
  /** Length of every window, in milliseconds. */
  public static final long LENGTH_MILLIS = 20_000;

  /** Number of shards that customers are hashed to; each is sealed and reported separately. */
  public static final int SHARDS = 16;

  /**
   * Validates the start.
   *
   * @throws IllegalArgumentException if it is negative or not a multiple of the length
   */
  public UsageWindow {
    if (startMillis < 0 || startMillis % LENGTH_MILLIS != 0) {
      throw new IllegalArgumentException(
          "the start of a usage window must be a multiple of " + LENGTH_MILLIS);
    }
  }

  /**
   * Returns the window that contains an instant.
   *
   * @param millis the instant, in milliseconds since the epoch
   */
  public static UsageWindow containing(long millis) {
    return new UsageWindow(millis - Math.floorMod(millis, LENGTH_MILLIS));
  }

  /** Returns the exclusive end, in milliseconds since the epoch; the next window starts there. */
  public long endMillis() {
    return startMillis + LENGTH_MILLIS;
  }

  /** Returns the shard of a customer, 0 to {@link #SHARDS} - 1. */
  public static int shardOf(String customer) {
    return Math.floorMod(customer.hashCode(), SHARDS);
  }
}
