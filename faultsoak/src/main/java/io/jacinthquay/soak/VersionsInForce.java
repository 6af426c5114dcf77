package io.jacinthquay.soak;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;

/** The versions of the document that a router may follow at a given time. */
final class VersionsInForce {
  /** Time after an acknowledgement in which a router may still follow an older version. */
  private static final long APPLY_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

  private final List<History.Proposed> proposed;
  private final List<History.Acknowledged> acknowledged;

  VersionsInForce(History history) {
    proposed = history.proposed();
    acknowledged = history.acknowledged();
  }

  /** Returns the oldest version that a router may follow at a time, or -1 if it may follow any. */
  long oldestAllowed(long nanos) {
    return acknowledged.stream()
        .filter(version -> version.atNanos() + APPLY_LIMIT_NANOS - nanos < 0)
        .mapToLong(History.Acknowledged::version)
        .max()
        .orElse(-1);
  }

  /** Returns whether a version that a router may follow within a period matches a predicate. */
  boolean anyAllowed(long fromNanos, long untilNanos, LongPredicate predicate) {
    long oldest = oldestAllowed(fromNanos);
    return proposed.stream()
        .filter(version -> version.atNanos() - untilNanos <= 0)
        .mapToLong(History.Proposed::version)
        .filter(version -> version >= oldest)
        .anyMatch(predicate);
  }
}
