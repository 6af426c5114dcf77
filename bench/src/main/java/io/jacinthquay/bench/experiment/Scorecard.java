package io.jacinthquay.bench.experiment;

import io.jacinthquay.bench.report.ClassScore;
import io.jacinthquay.bench.report.RunResult;
import io.jacinthquay.model.CustomerId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Collects what callers have seen and sums it up. */
final class Scorecard {
  private static final int DIGITS = 3;
  private static final long MAX_MICROS = 600_000_000L;

  private final List<SimRequest> requests = new ArrayList<>();
  private final long from;
  private final long until;
  long attempts;
  long promptTokens;
  long cachedTokens;

  /**
   * Returns an empty scorecard.
   *
   * @param from requests that arrived earlier do not count, in nanoseconds
   * @param until requests that arrive later do not count
   */
  Scorecard(long from, long until) {
    this.from = from;
    this.until = until;
  }

  boolean counts(long at) {
    return at >= from && at < until;
  }

  void arrived(SimRequest request) {
    if (counts(request.arrivedAt)) {
      requests.add(request);
    }
  }

  void firstToken(SimRequest request, int cached, long now) {
    if (counts(now)) {
      promptTokens += request.promptTokens;
      cachedTokens += cached;
    }
  }

  RunResult result(String scenario, String strategy, long seed, long worked, Totals totals) {
    Map<Integer, List<SimRequest>> byTier = new TreeMap<>();
    Map<CustomerId, List<SimRequest>> byCustomer = new TreeMap<>();
    Map<CustomerId, List<SimRequest>> besideFlood = new TreeMap<>();
    long useful = 0;
    long good = 0;
    for (SimRequest r : requests) {
      byTier.computeIfAbsent(r.classPolicy.tier().value(), t -> new ArrayList<>()).add(r);
      byCustomer.computeIfAbsent(r.customer, c -> new ArrayList<>()).add(r);
      if (isBesideFlood(r)) {
        besideFlood.computeIfAbsent(r.customer, c -> new ArrayList<>()).add(r);
      }
      good += r.isOnTarget() ? r.outputTokens : 0;
      useful += r.completed ? r.outputTokens : 0;
    }
    List<ClassScore> classes = byTier.values().stream().map(Scorecard::classScore).toList();
    double worst = worst(byCustomer);
    Histogram all = latency(requests);
    double seconds = (until - from) / 1e9;
    return new RunResult(
        scenario,
        strategy,
        seed,
        requests.size(),
        onTarget(requests),
        all.getValueAtPercentile(50) / 1e3,
        all.getValueAtPercentile(95) / 1e3,
        good / seconds,
        worked == 0 ? 0 : 1 - Math.min(1, (double) totals.usefulWork() / worked),
        worst,
        worst(besideFlood),
        promptTokens == 0 ? 0 : (double) cachedTokens / promptTokens,
        requests.isEmpty() ? 0 : (double) attempts / requests.size(),
        totals.breaches(),
        totals.cost(),
        useful == 0 ? 0 : totals.cost() / useful * 1e6,
        classes);
  }

  /** Returns whether a request is in the class of a flood but not of the customer that floods. */
  private static boolean isBesideFlood(SimRequest r) {
    boolean sameClass = r.classPolicy.equals(Classes.ALL.get(WorkloadSettings.FLOOD_CLASS));
    return sameClass && !r.customer.equals(Workload.customer(WorkloadSettings.FLOOD_CUSTOMER));
  }

  private static double worst(Map<CustomerId, List<SimRequest>> byCustomer) {
    return byCustomer.values().stream().mapToDouble(Scorecard::onTarget).min().orElse(0);
  }

  private static ClassScore classScore(List<SimRequest> all) {
    Histogram latency = latency(all);
    long refused = all.stream().filter(r -> r.refused).count();
    long completed = all.stream().filter(r -> r.completed).count();
    return new ClassScore(
        all.get(0).classPolicy.name().value(),
        all.get(0).classPolicy.tier().value(),
        all.size(),
        onTarget(all),
        latency.getValueAtPercentile(95) / 1e3,
        (double) refused / all.size(),
        (double) completed / all.size());
  }

  private static double onTarget(List<SimRequest> all) {
    return (double) all.stream().filter(SimRequest::isOnTarget).count() / Math.max(1, all.size());
  }

  /**
   * Returns the times to the first token, in microseconds; a caller that went away without one
   * counts with the time that it waited, and a refused one not at all.
   */
  private static Histogram latency(List<SimRequest> all) {
    Histogram histogram = new Histogram(MAX_MICROS, DIGITS);
    for (SimRequest r : all) {
      long until = r.firstTokenAt == SimRequest.NEVER ? r.endedAt : r.firstTokenAt;
      if (!r.refused) {
        long micros = until == SimRequest.NEVER ? MAX_MICROS : (until - r.arrivedAt) / 1_000;
        histogram.recordValue(Math.min(MAX_MICROS, micros));
      }
    }
    return histogram;
  }

  /**
   * What the engines did in a whole run.
   *
   * @param usefulWork prompt and output tokens computed for answers that came whole
   * @param breaches requests that an engine got beyond what it bears
   * @param cost price of the engines' running time
   */
  record Totals(long usefulWork, long breaches, double cost) {}
}
