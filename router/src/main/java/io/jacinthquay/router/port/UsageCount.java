package io.jacinthquay.router.port;

import io.jacinthquay.model.CustomerId;
import java.util.Objects;

/**
 * A cumulative counter of one router incarnation.
 *
 * @param incarnation id of the router incarnation
 * @param customer the customer that is billed
 * @param model the model, or the route of a plain request
 * @param windowStartMillis start of the window in which the work occurred, in milliseconds since
 *     the epoch
 * @param requests requests that got a response
 * @param inputTokens prompt tokens
 * @param outputTokens tokens sent to callers
 */
public record UsageCount(
    String incarnation,
    CustomerId customer,
    String model,
    long windowStartMillis,
    long requests,
    long inputTokens,
    long outputTokens) {
  /**
   * Checks that no component is missing.
   *
   * @throws NullPointerException if a component is null
   */
  public UsageCount {
    Objects.requireNonNull(incarnation, "incarnation");
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(model, "model");
  }
}
