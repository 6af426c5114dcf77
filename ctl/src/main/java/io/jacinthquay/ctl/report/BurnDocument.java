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
 * The report on service-level burn as it is shown.
 *
 * <pre>{@code
 * BurnDocument document = BurnDocument.of(views, policy);
 * }</pre>
 *
 * @param classes one line per class
 * @param customers one line per class and customer
 * @param worst the line of the worst-served customer; empty if there are no requests
 * @param times latency by class
 * @param ages what each router decides by, and how old it is
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
   * One class, or one customer in it.
   *
   * @param className the class
   * @param customer the customer; {@code *} for all
   * @param requests requests of three days
   * @param attainment share that met the targets
   * @param objective share that is to meet them
   * @param budgetLeft share of the error budget that is left; negative when overspent
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
   * @param firstTokenTargetMs its target
   * @param interTokenMs mean time between the tokens of a request
   * @param interTokenTargetMs its target
   */
  public record Times(
      String className,
      double firstTokenMs,
      double firstTokenTargetMs,
      double interTokenMs,
      double interTokenTargetMs) {}

  /**
   * How old the data is that a router decides by, in milliseconds; -1 where it has none.
   *
   * @param router the router
   * @param domain its failure domain
   * @param configVersion the configuration in force
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
   * Returns the report on what routers told.
   *
   * @param views one for each router that answered
   * @param policy names targets and objectives
   */
  public static BurnDocument of(List<RouterView> views, Policy policy) {
    SloSnapshot.Builder merged = SloSnapshot.builder();
    views.forEach(view -> merged.addAll(view.counts()));
    SloSnapshot snapshot = merged.build();
    BurnReport report = BurnReport.of(snapshot, policy);
    return new BurnDocument(
        report.classes().stream().map(BurnDocument::line).toList(),
        report.customers().stream().map(BurnDocument::line).toList(),
        report.worstCustomer().map(BurnDocument::line).stream().toList(),
        times(snapshot, policy),
        views.stream().map(BurnDocument::age).toList());
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
          t ->
              times.add(
                  new Times(
                      name.value(),
                      percentile(snapshot.firstToken(name)),
                      t.firstTokenMs(),
                      percentile(snapshot.interToken(name)),
                      t.interTokenMs())));
    }
    return times;
  }

  private static double percentile(Optional<Histogram> histogram) {
    return histogram.map(h -> h.getValueAtPercentile(PERCENTILE) / MICROS_PER_MILLI).orElse(0.0);
  }

  private static Age age(RouterView view) {
    return new Age(
        view.router(),
        view.domain(),
        view.staleness().getConfigVersion(),
        view.staleness().getConfigMillis(),
        view.staleness().getKeysMillis(),
        view.staleness().getLoadMillis(),
        view.staleness().getCacheEventsMillis());
  }
}
