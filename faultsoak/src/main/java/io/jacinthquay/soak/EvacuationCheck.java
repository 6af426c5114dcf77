package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Nothing reaches a failure domain that an operator has taken out. */
final class EvacuationCheck implements Check {
  /** From the users' rules: time in which the system obeys. */
  private static final long OBEY_NANOS = TimeUnit.MILLISECONDS.toNanos(5_000);

  @Override
  public String promise() {
    return "a failure domain that is out gets nothing";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    List<History.Evacuation> orders =
        history.evacuations().stream()
            .sorted(Comparator.comparingLong(History.Evacuation::atNanos))
            .toList();
    Touch touch = new Touch(history);
    Map<RequestId, Call> calls = history.callsById();
    for (Run run : history.runs()) {
      Call call = calls.get(run.id());
      if (call == null) {
        continue;
      }
      boolean heldUp =
          history.spans().stream()
              .filter(span -> span.what().where() == FaultKind.Where.UPSTREAM)
              .filter(span -> span.concerns(run.upstream()))
              .anyMatch(span -> span.touches(call.sentNanos(), run.beganNanos()));
      verdict.judgeOr(
          !isOut(Deployment.domain(run.upstream()), run.beganNanos(), orders),
          heldUp || touch.isOut(call.router(), call.sentNanos(), run.beganNanos()),
          run.id().value()
              + " reached upstream "
              + run.upstream()
              + " by router "
              + call.router()
              + " though "
              + Deployment.domain(run.upstream())
              + " was out");
    }
    return verdict;
  }

  private static boolean isOut(String domain, long atNanos, List<History.Evacuation> orders) {
    boolean out = false;
    for (History.Evacuation order : orders) {
      if (!order.domain().equals(domain) || order.atNanos() - atNanos > 0) {
        continue;
      }
      out = order.out() && order.atNanos() + OBEY_NANOS - atNanos < 0;
    }
    return out;
  }
}
