package io.jacinthquay.soak;

import java.util.List;
import java.util.concurrent.TimeUnit;

/** A planned stop of a router cuts no request off. */
final class PlannedStopCheck implements Check {
  /** Faults this long before a stop may still show. */
  private static final long BEFORE_NANOS = TimeUnit.SECONDS.toNanos(5);

  @Override
  public String promise() {
    return "a planned stop cuts no request off";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    List<Span> spans = history.spans();
    for (Call call : history.calls()) {
      boolean stopped =
          spans.stream()
              .filter(span -> span.what() == FaultKind.ROUTER_STOPPED)
              .filter(span -> span.concerns(call.router()))
              .anyMatch(span -> span.touches(call.sentNanos(), call.endNanos()));
      if (!stopped || call.ending() == Call.Ending.LEFT) {
        continue;
      }
      boolean sound = call.ending() == Call.Ending.ANSWERED || hasNoneOfIt(call, history);
      if (!sound && (isDisturbed(call, spans) || brokeOff(call, history) || isOver(call))) {
        verdict.leaveOut();
      } else {
        verdict.judge(
            sound,
            call.id().value()
                + " ("
                + call.kind()
                + ") was cut off by the stop of router "
                + call.router());
      }
    }
    return verdict;
  }

  /** A request that crossed the router's close was not read by it. */
  private static boolean hasNoneOfIt(Call call, History history) {
    return call.status() == 0
        && history.runs().stream().noneMatch(run -> run.id().equals(call.id()));
  }

  /** The route lets no caller wait longer, so the router had to end the answer. */
  private static boolean isOver(Call call) {
    return call.endNanos() - call.sentNanos()
        >= TimeUnit.MILLISECONDS.toNanos(Documents.TIMEOUT_MILLIS);
  }

  /** The upstream ended the answer, so the router had to. */
  private static boolean brokeOff(Call call, History history) {
    return history.runs().stream().anyMatch(run -> run.id().equals(call.id()) && run.brokeOff());
  }

  private static boolean isDisturbed(Call call, List<Span> spans) {
    return spans.stream()
        .filter(span -> span.what() != FaultKind.ROUTER_STOPPED)
        .filter(span -> span.touches(call.sentNanos() - BEFORE_NANOS, call.endNanos()))
        .anyMatch(
            span ->
                switch (span.what().where()) {
                  case ROUTER -> span.concerns(call.router());
                  case UPSTREAM, OBSERVER -> true;
                  default -> false;
                });
  }
}
