package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Checks that an upstream gets no more than it states that it takes, summed over the routers that
 * it has told.
 */
final class StatedLimitCheck implements Check {
  /** Time from the first statement until the bound holds: the deployments' contact window. */
  private static final long CONTACT_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);

  /** Time after which a router that was told has to obey. */
  private static final long TOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4);
  private static final double WINDOW_SECONDS = 4;
  private static final double ALLOWED_FACTOR = 1.5;
  private static final int ALLOWED_EXTRA = 5;

  @Override
  public String guarantee() {
    return "an upstream gets no more than 1.5 times the limit that it states and 5 in 4 s";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    Map<String, List<History.StatedLimit>> byLifetime = new HashMap<>();
    history
        .statedLimits()
        .forEach(
            limit ->
                byLifetime.computeIfAbsent(limit.lifetime(), id -> new ArrayList<>()).add(limit));
    byLifetime.values().forEach(limits -> judge(limits, history, verdict));
    return verdict;
  }

  private static void judge(List<History.StatedLimit> limits, History history, Verdict verdict) {
    int upstream = limits.get(0).upstream();
    limits.sort(Comparator.comparingLong(History.StatedLimit::atNanos));
    long from = limits.get(0).atNanos() + CONTACT_NANOS;
    long until = limits.get(limits.size() - 1).atNanos();
    double perSecond = limits.stream().mapToDouble(History.StatedLimit::perSecond).max().orElse(0);
    double allowed = ALLOWED_FACTOR * WINDOW_SECONDS * perSecond + ALLOWED_EXTRA;
    Map<RequestId, Call> calls = history.callsById();
    Map<Integer, Long> toldNanos = new HashMap<>();
    for (History.StatedLimit limit : limits) {
      Optional.ofNullable(calls.get(limit.id()))
          .ifPresent(call -> toldNanos.putIfAbsent(call.router(), limit.atNanos()));
    }
    Disturbances disturbances = new Disturbances(history);
    List<Long> arrivals =
        history.arrivals().stream()
            .filter(arrival -> arrival.upstream() == upstream && !arrival.misdirected())
            .filter(arrival -> arrival.atNanos() >= from && arrival.atNanos() <= until)
            .filter(arrival -> isTold(calls.get(arrival.id()), arrival, toldNanos, disturbances))
            .map(History.Arrival::atNanos)
            .sorted()
            .toList();
    int first = 0;
    for (int last = 0; last < arrivals.size(); last++) {
      while (arrivals.get(last) - arrivals.get(first) >= WINDOW_NANOS) {
        first++;
      }
      int count = last - first + 1;
      verdict.judge(
          count <= allowed,
          "upstream %d got %d requests in 4 s of a limit of %.2f a second"
              .formatted(upstream, count, perSecond));
    }
  }

  private static boolean isTold(
      Call call, History.Arrival arrival, Map<Integer, Long> toldNanos, Disturbances disturbances) {
    return call != null
        && toldNanos.containsKey(call.router())
        && arrival.atNanos() - toldNanos.get(call.router()) >= TOLD_NANOS
        && !disturbances.affectRouter(call.router(), call.sentNanos(), arrival.atNanos());
  }
}
