package io.jacinthquay.soak;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Checks that a request that has no complete answer at the timeout of its route gets its final
 * answer soon after. Requests on one connection are handled one after the other.
 */
final class RequestTimeoutCheck implements Check {
  private static final long TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(Documents.TIMEOUT_MILLIS);

  /** Longest time from the timeout of the route to the end of the answer. */
  private static final long MAX_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** A connection of a caller. */
  private record Connection(int router, int port) {}

  @Override
  public String guarantee() {
    return "requests at their timeout are ended within 500 ms";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    Disturbances disturbances = new Disturbances(history);
    Map<Connection, Long> ends = new HashMap<>();
    List<Call> calls =
        history.calls().stream().sorted(Comparator.comparingLong(Call::sentNanos)).toList();
    for (Call call : calls) {
      Connection connection = new Connection(call.router(), call.port());
      long previousEnd = ends.getOrDefault(connection, call.sentNanos());
      long begin = Math.max(call.sentNanos(), previousEnd);
      ends.put(connection, Math.max(previousEnd, call.endNanos()));
      long lasted = call.endNanos() - begin;
      if (lasted >= TIMEOUT_NANOS) {
        verdict.judgeUnlessExplained(
            lasted <= TIMEOUT_NANOS + MAX_DELAY_NANOS,
            disturbances.affectRouter(call.router(), call.sentNanos(), call.endNanos()),
            call.id().value()
                + " ("
                + call.kind()
                + ") had no complete answer of router "
                + call.router()
                + " after "
                + TimeUnit.NANOSECONDS.toMillis(lasted)
                + " ms");
      }
    }
    return verdict;
  }
}
