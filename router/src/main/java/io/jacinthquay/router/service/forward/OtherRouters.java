package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.cluster.RouterSignals;
import io.jacinthquay.decision.cluster.WaitingWork;
import io.jacinthquay.decision.waiting.ServedTokens;
import java.util.Map;

/** What the other routers last reported about waiting requests and customers. */
final class OtherRouters {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final ServedTokens served;
  private Map<WaitingWork.Key, WaitingWork> waiting = Map.of();
  private int routers = 1;
  private long updatedNanos;
  private boolean updated;

  OtherRouters(long now) {
    this.served = new ServedTokens(now);
  }

  /** Sets the number of routers, this one included, and the sum of what the others report. */
  void update(int count, RouterSignals signals, long now) {
    routers = Math.max(1, count);
    waiting = signals.waiting();
    served.updateOthers(signals.servedTokens());
    updatedNanos = now;
    updated = true;
  }

  /** Returns the work that waits at the other routers; none once the report is old. */
  WaitingWork waiting(WaitingWork.Key key, long now) {
    return now - updatedNanos > RouterSignals.EXPIRY_NANOS
        ? WaitingWork.NONE
        : waiting.getOrDefault(key, WaitingWork.NONE);
  }

  /** Returns the age of the last report, in milliseconds; -1 before the first. */
  long ageMillis(long now) {
    return updated ? (now - updatedNanos) / NANOS_PER_MILLI : -1;
  }

  /** Returns the tokens served by all routers. */
  ServedTokens served() {
    return served;
  }

  int routers() {
    return routers;
  }
}
