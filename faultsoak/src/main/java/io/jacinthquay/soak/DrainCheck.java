package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Checks that requests reach an upstream only for a limited time after the platform's list first
 * showed it as draining or gone. The time also runs while no control VM leads; it stands still
 * while the platform doesn't respond.
 */
final class DrainCheck implements Check {
  /** Value of the deployments' {@code drain_timeout_ms}. */
  static final long DRAIN_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  @Override
  public String guarantee() {
    return "an upstream that leaves gets nothing 3 s after the list shows it";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    List<History.Listed> changes =
        history.listed().stream()
            .sorted(Comparator.comparingLong(History.Listed::atNanos))
            .toList();
    Disturbances disturbances = new Disturbances(history);
    Map<RequestId, Call> calls = history.callsById();
    for (History.Arrival arrival : history.arrivals()) {
      OptionalLong leaves = leavesSince(arrival, changes);
      if (arrival.misdirected() || leaves.isEmpty()) {
        continue;
      }
      long lateNanos =
          runningNanos(leaves.getAsLong(), arrival.atNanos(), history) - DRAIN_TIMEOUT_NANOS;
      Call call = calls.get(arrival.id());
      verdict.judgeUnlessExplained(
          lateNanos <= 0,
          call == null || isDisturbed(call, arrival, disturbances, history),
          arrival.id().value()
              + " reached upstream "
              + arrival.upstream()
              + (call == null ? "" : " by router " + call.router())
              + " "
              + TimeUnit.NANOSECONDS.toMillis(lateNanos)
              + " ms too late");
    }
    return verdict;
  }

  /** Returns since when the list has shown, at an arrival, that its upstream leaves. */
  private static OptionalLong leavesSince(
      History.Arrival arrival, List<History.Listed> changesInOrder) {
    OptionalLong since = OptionalLong.empty();
    for (History.Listed change : changesInOrder) {
      if (change.upstream() != arrival.upstream() || change.atNanos() - arrival.atNanos() > 0) {
        continue;
      }
      if (change.ready()) {
        since = OptionalLong.empty();
      } else if (since.isEmpty()) {
        since = OptionalLong.of(change.atNanos());
      }
    }
    return since;
  }

  /** Returns the part of a period in which the platform was not disturbed, in nanoseconds. */
  private static long runningNanos(long fromNanos, long untilNanos, History history) {
    long disturbed = 0;
    long countedUntil = fromNanos;
    List<FaultPeriod> periods =
        history.faultPeriods().stream()
            .filter(period -> period.kind().where() == FaultKind.Where.PLATFORM)
            .filter(period -> period.overlaps(fromNanos, untilNanos))
            .sorted(Comparator.comparingLong(FaultPeriod::fromNanos))
            .toList();
    for (FaultPeriod period : periods) {
      long start = Math.max(period.fromNanos(), countedUntil);
      long end = Math.min(period.untilNanos(), untilNanos);
      if (end - start > 0) {
        disturbed += end - start;
        countedUntil = end;
      }
    }
    return untilNanos - fromNanos - disturbed;
  }

  /** Returns whether the router was out of touch, or the upstream's link held the request back. */
  private static boolean isDisturbed(
      Call call, History.Arrival arrival, Disturbances disturbances, History history) {
    boolean heldBack =
        history.faultPeriods().stream()
            .filter(period -> period.kind().where() == FaultKind.Where.UPSTREAM)
            .filter(period -> !period.kind().isWithdrawal())
            .filter(period -> period.affects(arrival.upstream()))
            .anyMatch(period -> period.overlaps(call.sentNanos(), arrival.atNanos()));
    return heldBack
        || disturbances.affectRouter(call.router(), call.sentNanos(), arrival.atNanos());
  }
}
