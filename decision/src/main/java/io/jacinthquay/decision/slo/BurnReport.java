package io.jacinthquay.decision.slo;

import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.policy.Policy;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * A report of attainment, error budgets and burn rates by class and customer.
 *
 * <pre>{@code
 * BurnReport report = BurnReport.of(mergedSnapshot, policy);
 * }</pre>
 */
public final class BurnReport {
  private final List<BurnRow> classes;
  private final List<BurnRow> customers;

  private BurnReport(List<BurnRow> classes, List<BurnRow> customers) {
    this.classes = List.copyOf(classes);
    this.customers = List.copyOf(customers);
  }

  /**
   * Returns the report on a snapshot.
   *
   * @param snapshot the merged counts of all routers
   * @param policy the policy with the objectives; classes that it does not contain are omitted
   */
  public static BurnReport of(SloSnapshot snapshot, Policy policy) {
    Map<ClassName, Map<BurnWindow, Tally>> byClass = new TreeMap<>();
    List<BurnRow> customers = new ArrayList<>();
    for (SloKey key : snapshot.keys()) {
      Map<BurnWindow, Tally> tallies = new EnumMap<>(BurnWindow.class);
      for (BurnWindow window : BurnWindow.values()) {
        tallies.put(window, snapshot.tally(key, window));
      }
      Map<BurnWindow, Tally> sum =
          byClass.computeIfAbsent(key.className(), c -> new EnumMap<>(BurnWindow.class));
      tallies.forEach((window, tally) -> sum.merge(window, tally, Tally::plus));
      row(policy, key.className(), Optional.of(key.customer()), tallies).ifPresent(customers::add);
    }
    List<BurnRow> classes = new ArrayList<>();
    byClass.forEach(
        (name, tallies) -> row(policy, name, Optional.empty(), tallies).ifPresent(classes::add));
    customers.sort(
        Comparator.comparing(BurnRow::className).thenComparing(row -> row.customer().get()));
    return new BurnReport(classes, customers);
  }

  private static Optional<BurnRow> row(
      Policy policy,
      ClassName name,
      Optional<CustomerId> customer,
      Map<BurnWindow, Tally> tallies) {
    return policy
        .classPolicy(name)
        .map(classPolicy -> row(classPolicy.objective(), name, customer, tallies));
  }

  private static BurnRow row(
      double objective,
      ClassName name,
      Optional<CustomerId> customer,
      Map<BurnWindow, Tally> tallies) {
    Map<BurnWindow, Double> burn = new EnumMap<>(BurnWindow.class);
    tallies.forEach((window, tally) -> burn.put(window, burnRate(tally, objective)));
    Tally threeDays = tallies.get(BurnWindow.THREE_DAYS);
    double budgetLeft = 1 - burn.get(BurnWindow.THREE_DAYS);
    return new BurnRow(name, customer, objective, threeDays, budgetLeft, burn, BurnAlert.of(burn));
  }

  private static double burnRate(Tally tally, double objective) {
    return (1 - tally.attainment()) / (1 - objective);
  }

  /** Returns one row per class, ordered by name. */
  public List<BurnRow> classes() {
    return classes;
  }

  /** Returns one row per class and customer, ordered by class and then customer. */
  public List<BurnRow> customers() {
    return customers;
  }

  /**
   * Returns the row with the smallest remaining budget among the customers, or empty if there are
   * none.
   */
  public Optional<BurnRow> worstCustomer() {
    return customers.stream().min(Comparator.comparingDouble(BurnRow::budgetLeft));
  }
}
