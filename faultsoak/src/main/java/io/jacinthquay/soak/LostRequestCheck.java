package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Checks that a router doesn't close a caller's connection before the end of the answer to a
 * request that it passed on to a sound upstream.
 */
final class LostRequestCheck implements Check {
  /** The router's timer may start before the caller has sent the last byte. */
  private static final long TIMER_TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  @Override
  public String guarantee() {
    return "no connection is closed on a request that a sound upstream has read";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    Disturbances disturbances = new Disturbances(history);
    Map<RequestId, List<History.Arrival>> arrivals =
        history.arrivals().stream().collect(Collectors.groupingBy(History.Arrival::id));
    Map<RequestId, List<Run>> runs =
        history.runs().stream().collect(Collectors.groupingBy(Run::id));
    for (Call call : history.calls()) {
      List<History.Arrival> sends =
          arrivals.getOrDefault(call.id(), List.of()).stream()
              .sorted(Comparator.comparingLong(arrival -> arrival.atNanos() - call.sentNanos()))
              .toList();
      if (sends.isEmpty() || call.ending() == Call.Ending.LEFT) {
        continue;
      }
      History.Arrival last = sends.get(sends.size() - 1);
      List<Run> callRuns = runs.getOrDefault(call.id(), List.of());
      boolean excused =
          disturbances.affectRouter(call.router(), last.atNanos(), call.endNanos())
              || disturbances.affectUpstream(last.upstream(), last.atNanos(), call.endNanos())
              || wasEndedByUpstream(call, last, callRuns, disturbances)
              || hadToEnd(call);
      verdict.judgeUnlessExplained(
          call.ending() == Call.Ending.ANSWERED, excused, describe(call, sends, callRuns));
    }
    return verdict;
  }

  /**
   * Returns whether an upstream ended the answer. Where the last one refused to go on with an
   * answer that had begun, this is the one before it, which broke off or whose connections a fault
   * ended or silenced.
   */
  private static boolean wasEndedByUpstream(
      Call call, History.Arrival last, List<Run> runs, Disturbances disturbances) {
    List<Run> lastRuns =
        runs.stream()
            .filter(run -> run.upstream() == last.upstream())
            .filter(run -> run.endNanos() - last.atNanos() >= 0)
            .toList();
    boolean resumptionRefused = lastRuns.isEmpty() && call.status() != 0;
    if (!resumptionRefused) {
      return lastRuns.stream().anyMatch(Run::truncated);
    }
    return runs.stream()
        .max(Comparator.comparingLong(run -> run.endNanos() - call.sentNanos()))
        .filter(
            run ->
                run.truncated() || disturbances.interruptUpstream(run.upstream(), run.endNanos()))
        .isPresent();
  }

  /**
   * Returns whether the time was up for an answer that had begun, so that the router had to end it.
   */
  private static boolean hadToEnd(Call call) {
    long limitMillis = Math.min(call.waitMillis(), Documents.TIMEOUT_MILLIS);
    return call.status() != 0
        && call.endNanos() - call.sentNanos()
            >= TimeUnit.MILLISECONDS.toNanos(limitMillis) - TIMER_TOLERANCE_NANOS;
  }

  private static String describe(Call call, List<History.Arrival> sends, List<Run> runs) {
    return call.id().value()
        + " ("
        + call.kind()
        + ") reached upstream "
        + sends.get(sends.size() - 1).upstream()
        + ", and router "
        + call.router()
        + " closed its connection "
        + millisAfterSend(call, call.endNanos())
        + " ms after it was sent"
        + (call.status() == 0 ? " without an answer" : " within the answer " + call.status())
        + sends.stream().map(send -> describe(call, send)).collect(Collectors.joining())
        + runs.stream().map(run -> describe(call, run)).collect(Collectors.joining());
  }

  private static String describe(Call call, History.Arrival send) {
    return "; at "
        + millisAfterSend(call, send.atNanos())
        + " ms upstream "
        + send.upstream()
        + " read it"
        + (send.misdirected() ? " and was another one" : "");
  }

  private static String describe(Call call, Run run) {
    return "; upstream "
        + run.upstream()
        + " ran it from "
        + millisAfterSend(call, run.beganNanos())
        + " to "
        + millisAfterSend(call, run.endNanos())
        + " ms"
        + (run.truncated() ? " and broke off" : "");
  }

  private static long millisAfterSend(Call call, long atNanos) {
    return TimeUnit.NANOSECONDS.toMillis(atNanos - call.sentNanos());
  }
}
