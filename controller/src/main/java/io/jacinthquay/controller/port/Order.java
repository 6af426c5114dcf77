package io.jacinthquay.controller.port;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.FencingToken;
import io.jacinthquay.model.LeaseName;
import java.util.Objects;

/**
 * An order to the platform, recorded before it is sent.
 *
 * @param id names the order; a resend keeps it
 * @param lease the lease under which it is given
 * @param fencing the fencing number of that lease
 * @param domain the failure domain that it concerns
 * @param json the body as it is sent, each time the same
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
