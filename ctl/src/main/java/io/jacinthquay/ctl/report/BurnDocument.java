package io.jacinthquay.ctl.report;

import io.jacinthquay.decision.slo.BurnReport;
import io.jacinthquay.decision.slo.BurnRow;
import io.jacinthquay.decision.slo.BurnWindow;
import io.jacinthquay.decision.slo.SloSnapshot;
import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.policy.ClassPolicy;
import io.jacinthquay.model.policy.Policy;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.HdrHistogram.Histogram;

/**
 * The report on SLO burn rates, ready to be formatted.
 *
 * <pre>{@code
 * BurnDocument document = BurnDocument.of(reports, policy);
 * }</pre>
 *
 * @param classes one line per service class
 * @param customers one line per class and customer
 * @param worst the line of the worst-served customer; empty if there are no requests
 * @param times latencies, one entry per class
 * @param ages the ages of the data of each router
 */
public record BurnDocument(
    List<Line> classes, List<Line> customers, List<Line> worst, List<Times> times, List<Age> ages) {
  private static final double MICROS_PER_MILLI = 1_000;
  private static final double PERCENTILE = 95;

  /** Copies the lists. */
  public BurnDocument {
    classes = List.copyOf(classes);
    customers = List.copyOf(customers);
    worst = List.copyOf(worst);
    times = List.copyOf(times);
    ages = List.copyOf(ages);
  }

  /**
   * The figures of one class, or of one customer in a class.
   *
   * @param className the class
   * @param customer the customer; {@code *} for all
   * @param requests number of requests in three days
   * @param attainment share of requests that met the targets, 0 to 1
   * @param objective share of requests that should meet the targets, 0 to 1
   * @param budgetLeft share of the error budget that is left; negative if it is overspent
   * @param burn burn rates over 5 minutes, 1 hour, 6 hours and 3 days
   * @param alert {@code NONE}, {@code TICKET} or {@code PAGE}
   */
  public record Line(
      String className,
      String customer,
      long requests,
      double attainment,
      double objective,
      double budgetLeft,
      List<Double> burn,
      String alert) {
    /** Copies the list. */
    public Line {
      burn = List.copyOf(burn);
    }
  }

  /**
   * Latency of one class at the 95th percentile, in milliseconds.
   *
   * @param className the class
   * @param firstTokenMs time to the first token
   * @param firstTokenTargetMs target of the time to the first token
   * @param interTokenMs mean time between the tokens of a request
   * @param interTokenTargetMs target of the time between tokens
   */
  public record Times(
      String className,
      double firstTokenMs,
      double firstTokenTargetMs,
      double interTokenMs,
      double interTokenTargetMs) {}

  /**
   * The ages of the data that a router bases its decisions on, in milliseconds; -1 if it has none.
   *
   * @param router the router
   * @param domain its failure domain
   * @param configVersion version of the configuration in force
   * @param configMs age of the configuration
   * @param keysMs age of the key table
   * @param loadMs age of the load reports
   * @param cacheEventsMs age of the cache events
   */
  public record Age(
      String router,
      String domain,
      long configVersion,
      long configMs,
      long keysMs,
      long loadMs,
      long cacheEventsMs) {}

  /**
   * Returns the report over the given routers.
   *
   * @param reports the reports of the routers that answered
   * @param policy the policy with the targets and objectives
   */
  public static BurnDocument of(List<RouterSloReport> reports, Policy policy) {
    SloSnapshot.Builder merged = SloSnapshot.builder();
    reports.forEach(report -> merged.addAll(report.counts()));
    SloSnapshot snapshot = merged.build();
    BurnReport burnReport = BurnReport.of(snapshot, policy);
    return new BurnDocument(
        burnReport.classes().stream().map(BurnDocument::line).toList(),
        burnReport.customers().stream().map(BurnDocument::line).toList(),
        burnReport.worstCustomer().map(BurnDocument::line).stream().toList(),
        times(snapshot, policy),
        reports.stream().map(BurnDocument::age).toList());
  }

  private static Line line(BurnRow row) {
    List<Double> burn = new ArrayList<>();
    for (BurnWindow window : BurnWindow.values()) {
      burn.add(row.burn().get(window));
    }
    return new Line(
        row.className().value(),
        row.customer().map(Object::toString).orElse("*"),
        row.tally().total(),
        row.tally().attainment(),
        row.objective(),
        row.budgetLeft(),
        burn,
        row.alert().name());
  }

  private static List<Times> times(SloSnapshot snapshot, Policy policy) {
    List<Times> times = new ArrayList<>();
    for (ClassName name : snapshot.classes().stream().sorted().toList()) {
      Optional<ClassPolicy> target = policy.classPolicy(name);
      target.ifPresent(
          classPolicy ->
              times.add(
                  new Times(
                      name.value(),
                      percentile(snapshot.firstToken(name)),
                      classPolicy.firstTokenMs(),
                      percentile(snapshot.interToken(name)),
                      classPolicy.interTokenMs())));
    }
    return times;
  }

  private static double percentile(Optional<Histogram> histogram) {
    return histogram.map(h -> h.getValueAtPercentile(PERCENTILE) / MICROS_PER_MILLI).orElse(0.0);
  }

  private static Age age(RouterSloReport report) {
    return new Age(
        report.router(),
        report.domain(),
        report.staleness().getConfigVersion(),
        report.staleness().getConfigMillis(),
        report.staleness().getKeysMillis(),
        report.staleness().getLoadMillis(),
        report.staleness().getCacheEventsMillis());
  }
}
