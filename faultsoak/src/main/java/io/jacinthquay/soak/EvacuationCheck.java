package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Checks that no request reaches a failure domain that an operator has evacuated. */
final class EvacuationCheck implements Check {
  /** Time in which the system has to follow an evacuation after it was acknowledged. */
  private static final long APPLY_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(5_000);

  @Override
  public String guarantee() {
    return "a failure domain that is out gets nothing";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    List<History.Evacuation> orders =
        history.evacuations().stream()
            .sorted(Comparator.comparingLong(History.Evacuation::atNanos))
            .toList();
    ContactLoss contactLoss = new ContactLoss(history);
    Map<RequestId, Call> calls = history.callsById();
    for (Run run : history.runs()) {
      Call call = calls.get(run.id());
      if (call == null) {
        continue;
      }
      boolean maybeDelayed =
          history.faultPeriods().stream()
              .filter(period -> period.kind().where() == FaultKind.Where.UPSTREAM)
              .filter(period -> period.affects(run.upstream()))
              .anyMatch(period -> period.overlaps(call.sentNanos(), run.beganNanos()));
      verdict.judgeUnlessExplained(
          !isOut(Deployment.domain(run.upstream()), run.beganNanos(), orders),
          maybeDelayed || contactLoss.isPossible(call.router(), call.sentNanos(), run.beganNanos()),
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
      out = order.out() && order.atNanos() + APPLY_LIMIT_NANOS - atNanos < 0;
    }
    return out;
  }
}
