package io.jacinthquay.controller.port;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.FencingToken;
import io.jacinthquay.model.LeaseName;
import java.util.Objects;

/**
 * An order to the platform. It is recorded in the replicated log before it is sent.
 *
 * @param id identifies the order; retries use the same id
 * @param lease the lease under which it is issued
 * @param fencing the fencing token of that lease
 * @param domain the failure domain that it concerns
 * @param json the request body, the same on each attempt
 */
public record Order(
    String id, LeaseName lease, FencingToken fencing, DomainId domain, String json) {
  /**
   * Checks that all parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public Order {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(lease, "lease");
    Objects.requireNonNull(fencing, "fencing");
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(json, "json");
  }
}
