package io.jacinthquay.router.port;

import io.jacinthquay.model.CustomerId;
import java.util.Objects;

/**
 * A cumulative counter of one router incarnation.
 *
 * @param incarnation names one run of one router
 * @param customer who is billed
 * @param model the model, or the route of a plain request
 * @param windowStartMillis start of the window in which the work occurred, ms since the epoch
 * @param requests answered requests
 * @param inputTokens prompt tokens
 * @param outputTokens tokens that callers were given
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
   * Checks that all parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public UsageCount {
    Objects.requireNonNull(incarnation, "incarnation");
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(model, "model");
  }
}
