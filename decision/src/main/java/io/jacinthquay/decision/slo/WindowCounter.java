package io.jacinthquay.decision.slo;

import io.jacinthquay.decision.count.SpanCounter;

/** Counts of the last span of time, of requests that met their target and of others. */
final class TallyRing {
  private final SpanCounter attained;
  private final SpanCounter missed;

  TallyRing(BurnWindow window) {
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
