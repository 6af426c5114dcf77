package io.jacinthquay.decision.pace;

/**
 * The routers that send to the same upstreams.
 *
 * @param count number of routers, this one included, 1 or more
 * @param known whether this router knows what the others have in flight
 */
public record Peers(int count, boolean known) {
  /**
   * Checks the range.
   *
   * @throws IllegalArgumentException if {@code count} is below 1
   */
  public Peers {
    if (count < 1) {
      throw new IllegalArgumentException("count must be 1 or more");
    }
  }
}
