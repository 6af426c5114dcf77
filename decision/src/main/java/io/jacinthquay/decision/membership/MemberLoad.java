package io.jacinthquay.decision.membership;

/**
 * The load of one router or of a failure domain.
 *
 * @param running number of requests that run on upstreams, 0 or more
 * @param waiting number of waiting requests, 0 or more
 */
public record MemberLoad(int running, int waiting) {
  /** No load. */
  public static final MemberLoad NONE = new MemberLoad(0, 0);

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a number is negative
   */
  public MemberLoad {
    if (running < 0 || waiting < 0) {
      throw new IllegalArgumentException("running and waiting must not be negative");
    }
  }

  /** Returns the sum of two loads. */
  public MemberLoad plus(MemberLoad other) {
    return new MemberLoad(running + other.running, waiting + other.waiting);
  }
}
