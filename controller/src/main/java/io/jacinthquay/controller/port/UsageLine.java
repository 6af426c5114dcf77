package io.jacinthquay.controller.port;

import io.jacinthquay.model.CustomerId;
import java.util.Objects;

/**
 * The usage of one model by one customer in one usage window.
 *
 * @param customer the customer who is billed
 * @param model the model, or the route of plain requests
 * @param requests number of answered requests
 * @param inputTokens number of prompt tokens
 * @param outputTokens number of tokens delivered to callers
 * @param occurredMillis start of the window in which the usage occurred, in milliseconds since the
 *     epoch; earlier than the reported window for late counts
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
