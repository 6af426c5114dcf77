package io.jacinthquay.decision.slo;

import io.jacinthquay.decision.count.SpanCounter;

/** Counts the requests of a sliding time window that met their targets and those that did not. */
final class WindowCounter {
  private final SpanCounter attained;
  private final SpanCounter missed;

  WindowCounter(BurnWindow window) {
    this.attained = new SpanCounter(window.buckets(), window.bucketMillis());
    this.missed = new SpanCounter(window.buckets(), window.bucketMillis());
  }

  void add(boolean met, long nowMillis) {
    (met ? attained : missed).add(nowMillis);
  }

  Tally sum(long nowMillis) {
    return new Tally(attained.sum(nowMillis), missed.sum(nowMillis));
  }
}
