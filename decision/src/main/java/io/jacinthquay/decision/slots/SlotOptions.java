package io.jacinthquay.decision.slots;

/**
 * Time limits and sizes of the slot protocol. All times are in nanoseconds.
 *
 * @param leaseNanos duration of a session without renewal
 * @param marginNanos allowance for clock drift over one lease, 0 or more
 * @param syncNanos interval between renewals, at most a third of the lease
 * @param resendNanos interval after which an unanswered message is repeated
 * @param preemptLeadNanos how long before the latest start of a request work is preempted for it
 * @param unreachableReleaseNanos time without contact after which the share of a router may be used
 *     by the others, once load reports show that it runs no work
 * @param orphanNanos how long the work of a lost router counts without any load report, 0 or more
 * @param maxWaiting maximum number of waiting requests of one scope, 1 or more
 * @param maxIdlePerRouter maximum number of unused slots of one router and scope, 0 or more
 */
public record SlotOptions(
    long leaseNanos,
    long marginNanos,
    long syncNanos,
    long resendNanos,
    long preemptLeadNanos,
    long unreachableReleaseNanos,
    long orphanNanos,
    int maxWaiting,
    int maxIdlePerRouter) {
  private static final long NANOS_PER_MS = 1_000_000L;

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a value is out of range
   */
  public SlotOptions {
    boolean times = marginNanos >= 0 && resendNanos > 0 && preemptLeadNanos >= 0;
    if (!times || syncNanos <= 0 || leaseNanos < 3 * syncNanos) {
      throw new IllegalArgumentException(
          "a time is out of range, or a lease is shorter than three renewal intervals");
    }
    if (unreachableReleaseNanos < leaseNanos + marginNanos || orphanNanos < 0) {
      throw new IllegalArgumentException(
          "unreachableReleaseNanos must cover lease and margin; orphanNanos must be 0 or more");
    }
    if (maxWaiting < 1 || maxIdlePerRouter < 0) {
      throw new IllegalArgumentException(
          "maxWaiting must be at least 1 and maxIdlePerRouter 0 or more");
    }
  }

  /**
   * Returns the time without contact between a router and an owner after which their session has
   * expired on both sides, clock drift included.
   */
  public long expiryNanos() {
    return leaseNanos + 2 * marginNanos;
  }

  /** Returns the values for a failure domain with round-trip times under a millisecond. */
  public static SlotOptions defaults() {
    return new SlotOptions(
        1_500 * NANOS_PER_MS,
        100 * NANOS_PER_MS,
        500 * NANOS_PER_MS,
        50 * NANOS_PER_MS,
        40 * NANOS_PER_MS,
        5_000 * NANOS_PER_MS,
        30_000 * NANOS_PER_MS,
        20_000,
        16);
  }
}
