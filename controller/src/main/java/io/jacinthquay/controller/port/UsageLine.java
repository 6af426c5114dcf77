package io.jacinthquay.controller.port;

import io.jacinthquay.model.CustomerId;
import java.util.Objects;

/**
 * The use of one model by one customer in one window.
 *
 * @param customer who is billed
 * @param model the model, or the route of plain requests
 * @param requests answered requests
 * @param inputTokens prompt tokens
 * @param outputTokens tokens that callers were given
 * @param occurredMillis start of the window in which the work occurred, earlier than the reported
 *     window for late counts, in milliseconds since the epoch
 */
public record UsageLine(
    CustomerId customer,
    String model,
    long requests,
    long inputTokens,
    long outputTokens,
    long occurredMillis) {
  /**
   * Checks that both names are present.
   *
   * @throws NullPointerException if a name is missing
   */
  public UsageLine {
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(model, "model");
  }
}
