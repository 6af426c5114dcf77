package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.util.Set;
import java.util.stream.Collectors;

/** What was refused as not run has not run, and does not run later. */
final class RefusalsCheck implements Check {
  @Override
  public String promise() {
    return "what was refused never runs";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    Set<RequestId> ran = history.runs().stream().map(Run::id).collect(Collectors.toSet());
    for (Call call : history.calls()) {
      if (call.isPromise()) {
        verdict.judge(
            !ran.contains(call.id()),
            call.id().value() + " (" + call.kind() + ") got " + call.status() + " and ran");
      }
    }
    return verdict;
  }
}
