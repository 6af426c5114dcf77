package io.jacinthquay.soak;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;

/** Which versions of the document a router may follow at a time. */
final class InForce {
  /** From the users' rules: time after an acknowledgement in which an older one may be followed. */
  private static final long APPLY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  private final List<History.Proposed> proposed;
  private final List<History.Acknowledged> acknowledged;

  InForce(History history) {
    proposed = history.proposed();
    acknowledged = history.acknowledged();
  }

  /** Returns the newest version that has to be followed at a time, or -1. */
  long least(long nanos) {
    return acknowledged.stream()
        .filter(version -> version.atNanos() + APPLY_NANOS - nanos < 0)
        .mapToLong(History.Acknowledged::version)
        .max()
        .orElse(-1);
  }

  /** Returns whether some version that may be followed in a span of time is of a kind. */
  boolean any(long fromNanos, long untilNanos, LongPredicate kind) {
    long least = least(fromNanos);
    return proposed.stream()
        .filter(version -> version.atNanos() - untilNanos <= 0)
        .mapToLong(History.Proposed::version)
        .filter(version -> version >= least)
        .anyMatch(kind);
  }
}
