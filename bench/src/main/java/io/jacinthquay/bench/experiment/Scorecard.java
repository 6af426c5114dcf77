package io.jacinthquay.bench.experiment;

import io.jacinthquay.bench.report.ClassScore;
import io.jacinthquay.bench.report.RunResult;
import io.jacinthquay.model.CustomerId;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Collects the requests of a run and computes its results. */
final class Scorecard {
  private static final int SIGNIFICANT_DIGITS = 3;
  private static final long MAX_LATENCY_MICROS = 600_000_000L;

  private final List<SimRequest> requests = new ArrayList<>();
  private final long from;
  private final long until;
  long attempts;
  long promptTokens;
  long cachedTokens;

  /**
   * Returns an empty scorecard.
   *
   * @param from start of the measured period, in nanoseconds; earlier arrivals do not count
   * @param until end of the measured period, in nanoseconds; arrivals from then on do not count
   */
  Scorecard(long from, long until) {
    this.from = from;
    this.until = until;
  }

  /** Returns whether a time in nanoseconds is in the measured period. */
  boolean isMeasured(long at) {
    return at >= from && at < until;
  }

  /** Adds a request if it arrived in the measured period. */
  void recordArrival(SimRequest request) {
    if (isMeasured(request.arrivedAt)) {
      requests.add(request);
    }
  }

  /** Counts the cached prompt tokens of an attempt. */
  void recordFirstToken(SimRequest request, int cached, long now) {
    if (isMeasured(now)) {
      promptTokens += request.promptTokens;
      cachedTokens += cached;
    }
  }

  /** Returns the result of the run. */
  RunResult result(
      String scenario, String strategy, long seed, long computedTokens, Totals totals) {
    Map<Integer, List<SimRequest>> byTier = new TreeMap<>();
    Map<CustomerId, List<SimRequest>> byCustomer = new TreeMap<>();
    Map<CustomerId, List<SimRequest>> besideFlood = new TreeMap<>();
    long completedTokens = 0;
    long onTargetTokens = 0;
    for (SimRequest r : requests) {
      byTier.computeIfAbsent(r.classPolicy.tier().value(), t -> new ArrayList<>()).add(r);
      byCustomer.computeIfAbsent(r.customer, c -> new ArrayList<>()).add(r);
      if (isBesideFlood(r)) {
        besideFlood.computeIfAbsent(r.customer, c -> new ArrayList<>()).add(r);
      }
      onTargetTokens += r.isOnTarget() ? r.outputTokens : 0;
      completedTokens += r.completed ? r.outputTokens : 0;
    }
    List<ClassScore> classes = byTier.values().stream().map(Scorecard::classScore).toList();
    double lowest = lowestAttainment(byCustomer);
    Histogram all = latency(requests);
    double seconds = (until - from) / 1e9;
    return new RunResult(
        scenario,
        strategy,
        seed,
        requests.size(),
        attainment(requests),
        all.getValueAtPercentile(50) / 1e3,
        all.getValueAtPercentile(95) / 1e3,
        onTargetTokens / seconds,
        computedTokens == 0 ? 0 : 1 - Math.min(1, (double) totals.usefulTokens() / computedTokens),
        lowest,
        lowestAttainment(besideFlood),
        promptTokens == 0 ? 0 : (double) cachedTokens / promptTokens,
        requests.isEmpty() ? 0 : (double) attempts / requests.size(),
        totals.breaches(),
        totals.cost(),
        completedTokens == 0 ? 0 : totals.cost() / completedTokens * 1e6,
        classes);
  }

  /** Returns whether a request has the class of a flood but another customer. */
  private static boolean isBesideFlood(SimRequest r) {
    boolean sameClass = r.classPolicy.equals(Classes.ALL.get(WorkloadSettings.FLOOD_CLASS));
    return sameClass && !r.customer.equals(Workload.customer(WorkloadSettings.FLOOD_CUSTOMER));
  }

  private static double lowestAttainment(Map<CustomerId, List<SimRequest>> byCustomer) {
    return byCustomer.values().stream().mapToDouble(Scorecard::attainment).min().orElse(0);
  }

  private static ClassScore classScore(List<SimRequest> all) {
    Histogram latency = latency(all);
    long rejected = all.stream().filter(r -> r.rejected).count();
    long completed = all.stream().filter(r -> r.completed).count();
    return new ClassScore(
        all.get(0).classPolicy.name().value(),
        all.get(0).classPolicy.tier().value(),
        all.size(),
        attainment(all),
        latency.getValueAtPercentile(95) / 1e3,
        (double) rejected / all.size(),
        (double) completed / all.size());
  }

  private static double attainment(List<SimRequest> all) {
    return (double) all.stream().filter(SimRequest::isOnTarget).count() / Math.max(1, all.size());
  }

  /**
   * Returns the times to the first token, in microseconds. A request without a first token counts
   * with the time until its end; a rejected request does not count.
   */
  private static Histogram latency(List<SimRequest> all) {
    Histogram histogram = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    for (SimRequest r : all) {
      long endNanos = r.firstTokenAt == SimRequest.NEVER ? r.endedAt : r.firstTokenAt;
      if (!r.rejected) {
        long micros =
            endNanos == SimRequest.NEVER ? MAX_LATENCY_MICROS : (endNanos - r.arrivedAt) / 1_000;
        histogram.recordValue(Math.min(MAX_LATENCY_MICROS, micros));
      }
    }
    return histogram;
  }

  /**
   * The totals of all engines over a run.
   *
   * @param usefulTokens prompt and output tokens computed for complete responses
   * @param breaches requests that reached an engine at or above its concurrency limit
   * @param cost price of the engines' running time
   */
  record Totals(long usefulTokens, long breaches, double cost) {}
}
