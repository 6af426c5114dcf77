package io.jacinthquay.soak;

/**
 * A period in which a fault was active.
 *
 * @param kind the kind of fault
 * @param target number of the affected router, control VM or upstream; -1 for all
 * @param fromNanos start, on the monotonic clock
 * @param untilNanos end, on the monotonic clock
 */
record FaultPeriod(FaultKind kind, int target, long fromNanos, long untilNanos) {
  /** Returns whether this period and another, both with their ends, overlap. */
  boolean overlaps(long from, long until) {
    return fromNanos - until <= 0 && from - untilNanos <= 0;
  }

  /** Returns whether the fault was injected into the target with a number. */
  boolean affects(int number) {
    return target < 0 || target == number;
  }
}
