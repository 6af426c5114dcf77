package io.jacinthquay.decision.slo;

import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * The service level of one class, or of one customer of a class.
 *
 * @param className the class
 * @param customer the customer; empty for all customers of the class
 * @param objective share of requests that should meet the targets, 0 to 1
 * @param tally the requests of the last three days
 * @param budgetLeft remaining share of the error budget of three days; negative if it is exceeded
 * @param burn the burn rate by window; a rate of 1 uses exactly the budget
 * @param alert the urgency of the burn rates
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
   * @throws NullPointerException if a component is null
   */
  public BurnRow {
    Objects.requireNonNull(className, "className");
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(tally, "tally");
    Objects.requireNonNull(alert, "alert");
    burn = Map.copyOf(burn);
  }
}
