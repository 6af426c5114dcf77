package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** A request that is not idempotent runs once at most, others as often as their route allows. */
final class AtMostOnceCheck implements Check {
  @Override
  public String promise() {
    return "no request runs more often than it may";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    Map<RequestId, List<Run>> runs =
        history.runs().stream().collect(Collectors.groupingBy(Run::id));
    runs.forEach(
        (id, all) ->
            verdict.judge(
                all.size() <= all.get(0).kind().mostRuns(),
                id.value() + " (" + all.get(0).kind() + ") ran " + all.size() + " times"));
    return verdict;
  }
}
