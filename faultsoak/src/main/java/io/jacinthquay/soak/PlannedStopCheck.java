package io.jacinthquay.soak;

import java.util.List;
import java.util.concurrent.TimeUnit;

/** Checks that the planned stop of a router doesn't interrupt requests. */
final class PlannedStopCheck implements Check {
  /** A fault that ended at most this long before a request was sent may still affect it. */
  private static final long LOOKBACK_NANOS = TimeUnit.SECONDS.toNanos(5);

  @Override
  public String guarantee() {
    return "a planned stop cuts no request off";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    List<FaultPeriod> faultPeriods = history.faultPeriods();
    for (Call call : history.calls()) {
      boolean stopped =
          faultPeriods.stream()
              .filter(period -> period.kind() == FaultKind.ROUTER_STOPPED)
              .filter(period -> period.affects(call.router()))
              .anyMatch(period -> period.overlaps(call.sentNanos(), call.endNanos()));
      if (!stopped || call.ending() == Call.Ending.LEFT) {
        continue;
      }
      boolean uninterrupted = call.ending() == Call.Ending.ANSWERED || neverStarted(call, history);
      if (!uninterrupted
          && (isDisturbed(call, faultPeriods)
              || truncatedByUpstream(call, history)
              || hasTimedOut(call))) {
        verdict.skip();
      } else {
        verdict.judge(
            uninterrupted,
            call.id().value()
                + " ("
                + call.kind()
                + ") was cut off by the stop of router "
                + call.router());
      }
    }
    return verdict;
  }

  /**
   * Returns whether neither the caller nor an upstream saw the request go on. A request that is
   * sent while the router closes the connection is not read by it.
   */
  private static boolean neverStarted(Call call, History history) {
    return call.status() == 0
        && history.runs().stream().noneMatch(run -> run.id().equals(call.id()));
  }

  /**
   * Returns whether the timeout of the route passed, so that the router had to end the response.
   */
  private static boolean hasTimedOut(Call call) {
    return call.endNanos() - call.sentNanos()
        >= TimeUnit.MILLISECONDS.toNanos(Documents.TIMEOUT_MILLIS);
  }

  /**
   * Returns whether the upstream ended its response early, so that the router had to end its own.
   */
  private static boolean truncatedByUpstream(Call call, History history) {
    return history.runs().stream().anyMatch(run -> run.id().equals(call.id()) && run.truncated());
  }

  private static boolean isDisturbed(Call call, List<FaultPeriod> faultPeriods) {
    return faultPeriods.stream()
        .filter(period -> period.kind() != FaultKind.ROUTER_STOPPED)
        .filter(period -> period.overlaps(call.sentNanos() - LOOKBACK_NANOS, call.endNanos()))
        .anyMatch(
            period ->
                switch (period.kind().where()) {
                  case ROUTER -> period.affects(call.router());
                  case UPSTREAM, OBSERVER -> true;
                  default -> false;
                });
  }
}
