package io.jacinthquay.decision.slots;

import io.jacinthquay.decision.bearing.LoadReport;
import java.util.ArrayDeque;
import java.util.Collection;

/**
 * Bounds the work on one upstream that its owner does not know of, from load reports that lag.
 *
 * <p>A report says how much ran at a moment. What the owner knows to have run then, by the start
 * and end of its slots, is taken off. Starts and ends close to that moment may count either way, so
 * that each report gives a least and a most number of unknown requests.
 */
final class LoadEvidence {
  /** How far the time of a report or of a start may be off, in nanoseconds. */
  private static final long SKEW = 50_000_000L;

  /** How long ended work and reports are remembered, in nanoseconds. */
  private static final long MEMORY = 10_000_000_000L;

  private final ArrayDeque<Ended> ended = new ArrayDeque<>();
  private final ArrayDeque<Bounds> reports = new ArrayDeque<>();
  private long latestNanos = Long.MIN_VALUE;

  private record Ended(long startNanos, long endNanos) {}

  private record Bounds(long measuredNanos, int least, int most) {}

  /** Takes in that known work ended. */
  void ended(long startNanos, long endNanos) {
    ended.add(new Ended(startNanos, endNanos));
    while (ended.peek().endNanos() < endNanos - MEMORY) {
      ended.poll();
    }
  }

  /** Takes in a report; one that is older than the latest is ignored. */
  void reported(LoadReport report, Collection<Slot> slots) {
    long at = report.measuredAtNanos();
    if (at <= latestNanos) {
      return;
    }
    latestNanos = at;
    int surely = 0;
    int perhaps = 0;
    for (Slot slot : slots) {
      surely += !slot.idle() && slot.startedAtNanos <= at - SKEW ? 1 : 0;
      perhaps += slot.startedAtNanos <= at + SKEW ? 1 : 0;
    }
    for (Ended work : ended) {
      boolean around = work.startNanos() <= at + SKEW && work.endNanos() >= at - SKEW;
      surely += work.startNanos() <= at - SKEW && work.endNanos() >= at + SKEW ? 1 : 0;
      perhaps += around ? 1 : 0;
    }
    int all = report.running() + report.queued();
    reports.add(new Bounds(at, Math.max(0, all - perhaps), Math.max(0, all - surely)));
    while (reports.peek().measuredNanos() < at - MEMORY) {
      reports.poll();
    }
  }

  /**
   * Returns the most unknown work of a kind that only ends after a moment, or -1 if no report was
   * measured after it.
   */
  int mostSince(long sinceNanos) {
    int most = -1;
    for (Bounds report : reports) {
      if (report.measuredNanos() >= sinceNanos) {
        most = most < 0 ? report.most() : Math.min(most, report.most());
      }
    }
    return most;
  }

  /** Returns the least unknown work by the latest report, or 0 if none came. */
  int leastNow() {
    return reports.isEmpty() ? 0 : reports.peekLast().least();
  }
}
