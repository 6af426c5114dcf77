package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.util.Set;
import java.util.stream.Collectors;

/** Checks that a request that was rejected as not run never runs, before or after. */
final class RejectionCheck implements Check {
  @Override
  public String guarantee() {
    return "what was refused never runs";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    Set<RequestId> ran = history.runs().stream().map(Run::id).collect(Collectors.toSet());
    for (Call call : history.calls()) {
      if (call.guaranteesNotRun()) {
        verdict.judge(
            !ran.contains(call.id()),
            call.id().value() + " (" + call.kind() + ") got " + call.status() + " and ran");
      }
    }
    return verdict;
  }
}
