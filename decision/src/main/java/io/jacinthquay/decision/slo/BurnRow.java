package io.jacinthquay.decision.slo;

import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The service level of one class, or of one customer in it.
 *
 * @param className the class
 * @param customer the customer; empty for all customers of the class
 * @param objective share of requests that are to meet the targets
 * @param tally the requests of three days
 * @param budgetLeft share of the three days' error budget that is left; negative when overspent
 * @param burn the burn rate by window; 1 spends exactly the budget
 * @param alert how urgent the burn is
 */
public record BurnRow(
    ClassName className,
    Optional<CustomerId> customer,
    double objective,
    Tally tally,
    double budgetLeft,
    Map<BurnWindow, Double> burn,
    BurnAlert alert) {
  /**
   * Copies the burn rates.
   *
   * @throws NullPointerException if a part is missing
   */
  public BurnRow {
    Objects.requireNonNull(className, "className");
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(tally, "tally");
    Objects.requireNonNull(alert, "alert");
    burn = Map.copyOf(burn);
  }
}
