package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** Work ends, and none begins, half a second after its caller has left. */
final class RunsEndCheck implements Check {
  /** From the users' rules. */
  private static final long MOST_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Time before a caller left in which a fault may still hold things up. */
  private static final long BEFORE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  @Override
  public String promise() {
    return "no work for callers that have left";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    List<Span> spans = history.spans();
    List<History.Departure> departures = history.departures();
    Map<RequestId, List<Run>> runs =
        history.runs().stream().collect(Collectors.groupingBy(Run::id));
    for (Call call : history.calls()) {
      if (call.ending() == Call.Ending.LEFT) {
        long left = noticeable(call, departures);
        for (Run run : runs.getOrDefault(call.id(), List.of())) {
          judge(call, left, run, spans, verdict);
        }
      }
    }
    return verdict;
  }

  /** The end of the caller's connection may have been on its way for a while. */
  private static long noticeable(Call call, List<History.Departure> departures) {
    return departures.stream()
        .filter(end -> end.router() == call.router() && end.port() == call.port())
        .mapToLong(History.Departure::atNanos)
        .filter(at -> at - call.endNanos() >= 0)
        .min()
        .orElse(call.endNanos());
  }

  /** Returns the longest time that the end of a caller who left was on its way to a router. */
  static long longestPassageNanos(History history) {
    List<History.Departure> departures = history.departures();
    return history.calls().stream()
        .filter(call -> call.ending() == Call.Ending.LEFT)
        .mapToLong(call -> noticeable(call, departures) - call.endNanos())
        .max()
        .orElse(0);
  }

  private static void judge(Call call, long left, Run run, List<Span> spans, Verdict verdict) {
    long late = Math.max(run.beganNanos(), run.endNanos()) - left;
    boolean sound = late <= MOST_NANOS;
    boolean disturbed =
        spans.stream()
            .filter(span -> span.touches(left - reach(span), left + MOST_NANOS))
            .anyMatch(span -> mayHoldUp(span, call, run));
    if (!sound && disturbed) {
      verdict.leaveOut();
      return;
    }
    verdict.judge(
        sound,
        call.id().value()
            + " ran on upstream "
            + run.upstream()
            + " for "
            + TimeUnit.NANOSECONDS.toMillis(late)
            + " ms after its caller left router "
            + call.router());
  }

  /** A router counts as in touch only some time after it was started. */
  private static long reach(Span span) {
    return switch (span.what()) {
      case ROUTER_KILLED, ROUTER_STOPPED -> Touch.CONTACT_NANOS;
      default -> BEFORE_NANOS;
    };
  }

  private static boolean mayHoldUp(Span span, Call call, Run run) {
    return switch (span.what().where()) {
      case ROUTER -> span.concerns(call.router());
      case UPSTREAM -> span.concerns(run.upstream());
      case OBSERVER -> true;
      default -> false;
    };
  }
}
