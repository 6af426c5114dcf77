package io.jacinthquay.decision.admission;

import io.jacinthquay.decision.bearing.LoadReport;
import io.jacinthquay.decision.bearing.UpstreamSpec;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.UpstreamId;
import java.util.HashSet;
import java.util.Set;

/** A fake upstream that counts how often a request exceeded its concurrency limit. */
final class FakeEngine {
  final UpstreamId id;
  final Set<RequestId> running = new HashSet<>();
  private final int fullLimit;
  private final boolean reportsLimit;
  private int limit;
  private int breaches;
  private double busyNanos;
  private long lastNanos;

  FakeEngine(String name, int initialLimit, int fullLimit) {
    this(name, initialLimit, fullLimit, false);
  }

  /**
   * Creates an engine.
   *
   * @param initialLimit concurrent requests that it can serve while cold
   * @param fullLimit concurrent requests that it can serve when warm
   * @param reportsLimit whether its full limit is known only from its load reports
   */
  FakeEngine(String name, int initialLimit, int fullLimit, boolean reportsLimit) {
    this.reportsLimit = reportsLimit;
    this.id = new UpstreamId(name);
    this.limit = initialLimit;
    this.fullLimit = fullLimit;
  }

  UpstreamSpec spec() {
    return new UpstreamSpec(id, limit, reportsLimit ? UpstreamSpec.DEFAULT_CEILING : fullLimit);
  }

  void start(long nowNanos, RequestId request) {
    account(nowNanos);
    running.add(request);
    breaches += running.size() > limit ? 1 : 0;
  }

  /** Ends a request; each whole answer raises the limit by one, up to the full limit. */
  boolean end(long nowNanos, RequestId request, boolean whole) {
    account(nowNanos);
    boolean wasRunning = running.remove(request);
    if (wasRunning && whole) {
      limit = Math.min(fullLimit, limit + 1);
    }
    return wasRunning;
  }

  LoadReport report(long nowNanos) {
    return new LoadReport(id, nowNanos, running.size(), 0, false, reportsLimit ? fullLimit : 0);
  }

  int breaches() {
    return breaches;
  }

  double busySlotNanos(long nowNanos) {
    account(nowNanos);
    return busyNanos;
  }

  int fullLimit() {
    return fullLimit;
  }

  private void account(long nowNanos) {
    busyNanos += (double) running.size() * (nowNanos - lastNanos);
    lastNanos = nowNanos;
  }
}
