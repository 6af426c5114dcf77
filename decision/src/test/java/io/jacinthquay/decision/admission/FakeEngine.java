package io.jacinthquay.decision.admission;

import io.jacinthquay.decision.bearing.LoadReport;
import io.jacinthquay.decision.bearing.UpstreamSpec;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.UpstreamId;
import java.util.HashSet;
import java.util.Set;

/** An upstream that counts how often it got more than it can bear. */
final class FakeEngine {
  final UpstreamId id;
  final Set<RequestId> running = new HashSet<>();
  private final int full;
  private final boolean states;
  private int bears;
  private int breaches;
  private double busyNanos;
  private long lastNanos;

  FakeEngine(String name, int floor, int full) {
    this(name, floor, full, false);
  }

  /**
   * Makes an engine.
   *
   * @param states whether its full limit is known from its load reports only
   */
  FakeEngine(String name, int floor, int full, boolean states) {
    this.states = states;
    this.id = new UpstreamId(name);
    this.bears = floor;
    this.full = full;
  }

  UpstreamSpec spec() {
    return new UpstreamSpec(id, bears, states ? UpstreamSpec.DEFAULT_CEILING : full);
  }

  void start(long nowNanos, RequestId request) {
    account(nowNanos);
    running.add(request);
    breaches += running.size() > bears ? 1 : 0;
  }

  /** Ends work; one whole answer warms the engine for one more request at a time. */
  boolean end(long nowNanos, RequestId request, boolean whole) {
    account(nowNanos);
    boolean was = running.remove(request);
    if (was && whole) {
      bears = Math.min(full, bears + 1);
    }
    return was;
  }

  LoadReport report(long nowNanos) {
    return new LoadReport(id, nowNanos, running.size(), 0, false, states ? full : 0);
  }

  int breaches() {
    return breaches;
  }

  double busySlotNanos(long nowNanos) {
    account(nowNanos);
    return busyNanos;
  }

  int full() {
    return full;
  }

  private void account(long nowNanos) {
    busyNanos += (double) running.size() * (nowNanos - lastNanos);
    lastNanos = nowNanos;
  }
}
