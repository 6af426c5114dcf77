package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Checks that non-idempotent requests run at most once, and others as often as their route allows.
 */
final class AtMostOnceCheck implements Check {
  @Override
  public String guarantee() {
    return "no request runs more often than it may";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    Map<RequestId, List<Run>> runs =
        history.runs().stream().collect(Collectors.groupingBy(Run::id));
    runs.forEach(
        (id, sameId) ->
            verdict.judge(
                sameId.size() <= sameId.get(0).kind().maxRuns(),
                id.value() + " (" + sameId.get(0).kind() + ") ran " + sameId.size() + " times"));
    return verdict;
  }
}
