package io.jacinthquay.soak;

import java.util.List;
import java.util.concurrent.TimeUnit;

/** Periods in which a fault may keep a router from receiving changes from the control VMs. */
final class ContactLoss {
  /** A fault may isolate a router for this long after its end. */
  static final long ISOLATION_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  private final List<FaultPeriod> faultPeriods;

  ContactLoss(History history) {
    this.faultPeriods = history.faultPeriods();
  }

  /** Returns whether a router may have been isolated from the control VMs within a period. */
  boolean isPossible(int router, long fromNanos, long untilNanos) {
    return faultPeriods.stream()
        .filter(period -> period.overlaps(fromNanos - ISOLATION_NANOS, untilNanos))
        .anyMatch(
            period ->
                switch (period.kind().where()) {
                  // A router whose callers lose their connections stays in touch itself.
                  case ROUTER -> period.kind() != FaultKind.CALLERS_RESET && period.affects(router);
                  case CONTROL, OBSERVER -> true;
                  default -> false;
                });
  }
}
