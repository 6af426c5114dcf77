package io.jacinthquay.soak;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Periods in which a fault of a router, an upstream or their links may keep a request from an
 * answer. Reloads and what callers send disturb nothing.
 */
final class Disturbances {
  /** A router is in touch again this long after a fault. */
  private static final long CONTACT_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final List<FaultPeriod> faultPeriods;

  Disturbances(History history) {
    this.faultPeriods = history.faultPeriods();
  }

  /** Returns whether a router was out of touch, or its callers' link disturbed, in a period. */
  boolean affectRouter(int router, long fromNanos, long untilNanos) {
    return faultPeriods.stream()
        .filter(period -> period.kind().isDisturbance())
        .filter(period -> period.overlaps(fromNanos - CONTACT_WINDOW_NANOS, untilNanos))
        .anyMatch(
            period ->
                switch (period.kind().where()) {
                  case ROUTER -> period.affects(router);
                  case OBSERVER -> true;
                  default -> false;
                });
  }

  /** Returns whether an upstream or its link was disturbed in a period. */
  boolean affectUpstream(int upstream, long fromNanos, long untilNanos) {
    return faultPeriods.stream()
        .filter(period -> period.kind().where() == FaultKind.Where.UPSTREAM)
        .filter(period -> period.overlaps(fromNanos, untilNanos))
        .anyMatch(period -> period.affects(upstream));
  }

  /** Returns whether a fault had ended or silenced an upstream's connections at a time. */
  boolean interruptUpstream(int upstream, long atNanos) {
    return faultPeriods.stream()
        .filter(period -> period.kind().interruptsUpstream())
        .filter(period -> period.affects(upstream))
        .anyMatch(period -> interruption(period).overlaps(atNanos, atNanos));
  }

  /** Returns the part of a fault that interrupts; an upstream serves while it is draining. */
  private static FaultPeriod interruption(FaultPeriod period) {
    return period.kind().isWithdrawal()
        ? new FaultPeriod(
            period.kind(),
            period.target(),
            period.fromNanos() + FaultInjector.DRAINING_NOTICE_NANOS,
            period.untilNanos())
        : period;
  }
}
