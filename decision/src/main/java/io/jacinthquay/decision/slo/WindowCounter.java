package io.jacinthquay.decision.slo;

import io.jacinthquay.decision.count.SlidingWindowCounter;

/** Counts the requests of a sliding time window that met their targets and those that did not. */
final class WindowCounter {
  private final SlidingWindowCounter attained;
  private final SlidingWindowCounter missed;

  WindowCounter(BurnWindow window) {
    this.attained = new SlidingWindowCounter(window.buckets(), window.bucketMillis());
    this.missed = new SlidingWindowCounter(window.buckets(), window.bucketMillis());
  }

  void add(boolean met, long nowMillis) {
    (met ? attained : missed).add(nowMillis);
  }

  Tally sum(long nowMillis) {
    return new Tally(attained.sum(nowMillis), missed.sum(nowMillis));
  }
}
