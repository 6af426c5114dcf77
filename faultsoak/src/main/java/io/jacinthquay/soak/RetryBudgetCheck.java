package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

/**
 * Checks that the repeated arrivals at a service stay within the retry budget in every window. The
 * requests for the service count in that window, the one before or the one half a window earlier,
 * whichever has most.
 */
final class RetryBudgetCheck implements Check {
  private static final long WINDOW_NANOS =
      TimeUnit.SECONDS.toNanos(Deployment.RETRY_WINDOW_SECONDS);

  @Override
  public String guarantee() {
    return "repeated arrivals stay within the retry budget";
  }

  @Override
  public Verdict judge(History history) {
    Verdict verdict = new Verdict();
    Map<String, Traffic> byService = new TreeMap<>();
    for (int i = 0; i < Documents.SERVICE_COUNT; i++) {
      byService.put("service-" + i, new Traffic());
    }
    Map<RequestId, Set<String>> servicesReached = new HashMap<>();
    Set<RequestId> arrived = new HashSet<>();
    history.arrivals().stream()
        .sorted((a, b) -> Long.compare(a.atNanos(), b.atNanos()))
        .forEach(
            arrival -> {
              servicesReached
                  .computeIfAbsent(arrival.id(), id -> new HashSet<>())
                  .add(arrival.service());
              if (!arrived.add(arrival.id())) {
                byService.get(arrival.service()).repeats.add(arrival.atNanos());
              }
            });
    VersionsInForce documents = new VersionsInForce(history);
    for (Call call : history.calls()) {
      Set<String> services =
          servicesReached.getOrDefault(call.id(), routedServices(call, documents));
      services.forEach(service -> byService.get(service).requests.add(call.sentNanos()));
    }
    byService.forEach((service, traffic) -> judge(service, traffic, history, verdict));
    return verdict;
  }

  /** Returns the services to which a request that reached none may have been routed. */
  private static Set<String> routedServices(Call call, VersionsInForce documents) {
    Set<String> services = new HashSet<>();
    for (int i = 0; i < Documents.SERVICE_COUNT; i++) {
      String service = "service-" + i;
      if (documents.anyAllowed(
          call.sentNanos(),
          call.endNanos(),
          version -> Documents.routedService(call.kind(), version).equals(service))) {
        services.add(service);
      }
    }
    return services;
  }

  /** Judges the window that exceeds the budget most. */
  private static void judge(String service, Traffic traffic, History history, Verdict verdict) {
    long[] repeats = traffic.repeats.build().sorted().toArray();
    long[] requests = traffic.requests.build().sorted().toArray();
    double worstExcess = Double.NEGATIVE_INFINITY;
    long worstStart = 0;
    double greatestShare = Double.NEGATIVE_INFINITY;
    long fullestStart = 0;
    for (long start : starts(repeats, requests)) {
      int repeated = count(repeats, start);
      double allowed = allowed(requests, start);
      double excess = repeated - allowed;
      if (repeated / allowed > greatestShare) {
        greatestShare = repeated / allowed;
        fullestStart = start;
      }
      if (excess > worstExcess) {
        worstExcess = excess;
        worstStart = start;
      }
    }
    long from = worstStart;
    boolean observerStalled =
        history.faultPeriods().stream()
            .filter(period -> period.kind() == FaultKind.OBSERVER_STALLED)
            .anyMatch(period -> period.overlaps(from, from + WINDOW_NANOS));
    verdict.judgeUnlessExplained(
        worstExcess <= 0, observerStalled, describe(service, repeats, requests, worstStart));
    verdict.remark(
        "fullest retry window: "
            + describe(service, repeats, requests, fullestStart)
            + "; "
            + repeats.length
            + " repeated arrivals and "
            + requests.length
            + " requests in the run");
  }

  private static String describe(String service, long[] repeats, long[] requests, long start) {
    return String.format(
        Locale.ROOT,
        "%s got %d repeated arrivals where %.1f were allowed",
        service,
        count(repeats, start),
        allowed(requests, start));
  }

  /**
   * Returns a start in each range in which no count of a window changes. Between two of them every
   * window has the same repeats and requests.
   */
  private static long[] starts(long[] repeats, long[] requests) {
    LongStream changes =
        LongStream.concat(
            Arrays.stream(repeats).flatMap(at -> LongStream.of(at, at - WINDOW_NANOS)),
            Arrays.stream(requests)
                .flatMap(
                    at ->
                        LongStream.of(
                            at - WINDOW_NANOS,
                            at - WINDOW_NANOS / 2,
                            at,
                            at + WINDOW_NANOS / 2,
                            at + WINDOW_NANOS)));
    return changes.flatMap(at -> LongStream.of(at, at + 1)).sorted().distinct().toArray();
  }

  private static double allowed(long[] requests, long start) {
    int most =
        LongStream.of(0, WINDOW_NANOS / 2, WINDOW_NANOS)
            .mapToInt(earlier -> count(requests, start - earlier))
            .max()
            .orElseThrow();
    return Deployment.RETRY_RATIO * most + Deployment.RETRY_EXTRA;
  }

  /** Returns how many of the sorted times are in the window that starts at a time. */
  private static int count(long[] times, long start) {
    return firstFrom(times, start + WINDOW_NANOS) - firstFrom(times, start);
  }

  /** Returns the index of the first of the sorted times that is not before a time. */
  private static int firstFrom(long[] times, long nanos) {
    int low = 0;
    int high = times.length;
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (times[middle] - nanos < 0) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }

  private static final class Traffic {
    final LongStream.Builder requests = LongStream.builder();
    final LongStream.Builder repeats = LongStream.builder();
  }
}
