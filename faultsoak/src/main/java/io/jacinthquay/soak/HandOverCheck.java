package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.util.Map;

/** Upstreams get requests as callers sent them, and never more time than the caller has. */
final class HandOverCheck implements Check {
  @Override
  public String promise() {
    return "upstreams get the request as it is, its customer, no key and no more time than is left";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    Map<RequestId, Call> calls = history.callsById();
    for (Run run : history.runs()) {
      Call call = calls.get(run.id());
      verdict.judge(run.proper(), run.id().value() + " reached its upstream changed");
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
