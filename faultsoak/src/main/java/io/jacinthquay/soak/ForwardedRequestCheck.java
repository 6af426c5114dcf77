package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.util.Map;

/**
 * Checks that routers forward requests unchanged, with the customer in place of the key and a
 * deadline that is not longer than the caller's.
 */
final class ForwardedRequestCheck implements Check {
  @Override
  public String guarantee() {
    return "upstreams get the request as it is, its customer, no key and no more time than is left";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    Map<RequestId, Call> calls = history.callsById();
    for (Run run : history.runs()) {
      Call call = calls.get(run.id());
      verdict.judge(run.unaltered(), run.id().value() + " reached its upstream changed");
      if (call != null) {
        verdict.judge(
            run.waitMillis() >= 0 && run.waitMillis() <= call.waitMillis(),
            run.id().value()
                + " was handed "
                + run.waitMillis()
                + " ms, its caller waits "
                + call.waitMillis());
      }
    }
    return verdict;
  }
}
