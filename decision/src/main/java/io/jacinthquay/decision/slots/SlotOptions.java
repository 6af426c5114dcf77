package io.jacinthquay.decision.slots;

/**
 * Time limits and sizes of the slot protocol. All times are in nanoseconds.
 *
 * @param leaseNanos how long a session lasts without renewal
 * @param marginNanos allowance for the drift of clocks over one lease
 * @param syncNanos interval between renewals, under a third of the lease
 * @param resendNanos interval after which an unanswered order is repeated
 * @param preemptLeadNanos how long before the latest start of a request a preemption is ordered
 * @param silentReleaseNanos silence after which the share of a router goes to the others, once load
 *     reports show no load of its own
 * @param orphanNanos how long the work of a lost router counts without any load report
 * @param maxWaiting most waiting requests of one scope
 * @param maxIdlePerRouter most unused slots of one router and scope
 */
public record SlotOptions(
    long leaseNanos,
    long marginNanos,
    long syncNanos,
    long resendNanos,
    long preemptLeadNanos,
    long silentReleaseNanos,
    long orphanNanos,
    int maxWaiting,
    int maxIdlePerRouter) {
  private static final long MILLISECOND = 1_000_000L;

  /**
   * Checks the ranges.
   *
   * @throws IllegalArgumentException if a value is out of range
   */
  public SlotOptions {
    boolean times = marginNanos >= 0 && resendNanos > 0 && preemptLeadNanos >= 0;
    if (!times || syncNanos <= 0 || leaseNanos < 3 * syncNanos) {
      throw new IllegalArgumentException("a lease must last at least three renewals");
    }
    if (silentReleaseNanos < leaseNanos + marginNanos || orphanNanos < 0) {
      throw new IllegalArgumentException("silence must outlast a lease and its margin");
    }
    if (maxWaiting < 1 || maxIdlePerRouter < 0) {
      throw new IllegalArgumentException("a scope must hold at least one waiting request");
    }
  }

  /**
   * Returns the time from the last word with a router after which neither side counts on the other.
   */
  public long lapseNanos() {
    return leaseNanos + 2 * marginNanos;
  }

  /** Returns the values for a failure domain whose VMs are under a millisecond apart. */
  public static SlotOptions defaults() {
    return new SlotOptions(
        1_500 * MILLISECOND,
        100 * MILLISECOND,
        500 * MILLISECOND,
        50 * MILLISECOND,
        40 * MILLISECOND,
        5_000 * MILLISECOND,
        30_000 * MILLISECOND,
        20_000,
        16);
  }
}
