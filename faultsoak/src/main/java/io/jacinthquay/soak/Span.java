package io.jacinthquay.soak;

/**
 * Time in which something was not as usual.
 *
 * @param what names it
 * @param target number of the router, control VM or upstream; -1 for all
 * @param fromNanos its begin, on the monotonic clock
 * @param untilNanos its end
 */
record Span(FaultKind what, int target, long fromNanos, long untilNanos) {
  /** Returns whether the span and a time have a moment in common. */
  boolean touches(long from, long until) {
    return fromNanos - until <= 0 && from - untilNanos <= 0;
  }

  boolean concerns(int number) {
    return target < 0 || target == number;
  }
}
