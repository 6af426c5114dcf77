package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Checks that a request that is sent once more is handed on with the time that is left then, not
 * with that of its first send.
 */
final class RepeatedDeadlineCheck implements Check {
  /** Earlier repetitions are not judged, and a deadline may end this much later. */
  private static final long TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  @Override
  public String guarantee() {
    return "a request that is sent once more gets only the time that is left";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    Disturbances disturbances = new Disturbances(history);
    Map<RequestId, Call> calls = history.callsById();
    Map<RequestId, List<Run>> runs =
        history.runs().stream().collect(Collectors.groupingBy(Run::id));
    runs.forEach(
        (id, sameId) -> {
          Call call = calls.get(id);
          if (call != null) {
            judge(call, sameId, disturbances, verdict);
          }
        });
    return verdict;
  }

  private static void judge(Call call, List<Run> runs, Disturbances disturbances, Verdict verdict) {
    Run first =
        runs.stream()
            .min(Comparator.comparingLong(run -> run.beganNanos() - call.sentNanos()))
            .orElseThrow();
    long ownEnd = call.sentNanos() + TimeUnit.MILLISECONDS.toNanos(call.waitMillis());
    long firstEnd = end(first);
    long latest = (firstEnd - ownEnd > 0 ? firstEnd : ownEnd) + TOLERANCE_NANOS;
    for (Run run : runs) {
      if (run.beganNanos() - first.beganNanos() > TOLERANCE_NANOS) {
        boolean excused =
            disturbances.affectRouter(call.router(), call.sentNanos(), run.beganNanos())
                || disturbances.affectUpstream(
                    run.upstream(), first.beganNanos(), run.beganNanos());
        verdict.judgeUnlessExplained(
            end(run) - latest <= 0,
            excused,
            run.id().value()
                + " was sent once more with "
                + run.waitMillis()
                + " ms, which ends "
                + TimeUnit.NANOSECONDS.toMillis(end(run) - latest + TOLERANCE_NANOS)
                + " ms too late");
      }
    }
  }

  private static long end(Run run) {
    return run.beganNanos() + TimeUnit.MILLISECONDS.toNanos(run.waitMillis());
  }
}
