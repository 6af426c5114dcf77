package io.jacinthquay.decision.slots;

import io.jacinthquay.decision.bearing.LoadReport;
import java.util.ArrayDeque;
import java.util.Collection;

/**
 * Bounds the work on one upstream that is unknown to its owner, based on delayed load reports.
 *
 * <p>A report gives the number of requests that ran at a point in time. The requests that the owner
 * knows to have run then, from the start and end of its slots, are subtracted. Starts and ends
 * close to that point may count either way, so each report gives a lower and an upper bound of
 * unknown requests.
 */
final class UnknownLoad {
  /** Maximum error of the time of a report or of a start, in nanoseconds. */
  private static final long TIME_ERROR_NANOS = 50_000_000L;

  /** How long ended work and reports are kept, in nanoseconds. */
  private static final long HISTORY_NANOS = 10_000_000_000L;

  private final ArrayDeque<Ended> ended = new ArrayDeque<>();
  private final ArrayDeque<Bounds> reports = new ArrayDeque<>();
  private long latestNanos = Long.MIN_VALUE;

  private record Ended(long startNanos, long endNanos) {}

  private record Bounds(long measuredNanos, int lower, int upper) {}

  /** Adds known work that has ended. */
  void addEnded(long startNanos, long endNanos) {
    ended.add(new Ended(startNanos, endNanos));
    while (ended.peek().endNanos() < endNanos - HISTORY_NANOS) {
      ended.poll();
    }
  }

  /** Adds a report; a report that is not newer than the latest is ignored. */
  void addReport(LoadReport report, Collection<Slot> slots) {
    long measuredNanos = report.measuredAtNanos();
    if (measuredNanos <= latestNanos) {
      return;
    }
    latestNanos = measuredNanos;
    int certain = 0;
    int possible = 0;
    for (Slot slot : slots) {
      certain += !slot.idle() && slot.startedAtNanos <= measuredNanos - TIME_ERROR_NANOS ? 1 : 0;
      possible += slot.startedAtNanos <= measuredNanos + TIME_ERROR_NANOS ? 1 : 0;
    }
    for (Ended work : ended) {
      boolean mayOverlap =
          work.startNanos() <= measuredNanos + TIME_ERROR_NANOS
              && work.endNanos() >= measuredNanos - TIME_ERROR_NANOS;
      certain +=
          work.startNanos() <= measuredNanos - TIME_ERROR_NANOS
                  && work.endNanos() >= measuredNanos + TIME_ERROR_NANOS
              ? 1
              : 0;
      possible += mayOverlap ? 1 : 0;
    }
    int reported = report.running() + report.queued();
    reports.add(
        new Bounds(
            measuredNanos, Math.max(0, reported - possible), Math.max(0, reported - certain)));
    while (reports.peek().measuredNanos() < measuredNanos - HISTORY_NANOS) {
      reports.poll();
    }
  }

  /**
   * Returns an upper bound of unknown work that can end but not start after a point in time, or -1
   * if no report was measured since then.
   */
  int upperBoundSince(long sinceNanos) {
    int bound = -1;
    for (Bounds report : reports) {
      if (report.measuredNanos() >= sinceNanos) {
        bound = bound < 0 ? report.upper() : Math.min(bound, report.upper());
      }
    }
    return bound;
  }

  /** Returns the lower bound of the latest report, or 0 without a report. */
  int latestLowerBound() {
    return reports.isEmpty() ? 0 : reports.peekLast().lower();
  }
}
