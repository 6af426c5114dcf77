package io.jacinthquay.router.port;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.RouteName;
import java.util.Objects;

/**
 * One use of an idempotency key by a request.
 *
 * @param customer the customer that sent the key
 * @param route the route of the request
 * @param key the value of the header {@code Idempotency-Key}
 * @param bodyDigest SHA-256 of method, target and body, in hexadecimal
 * @param request the request that claims the key
 */
public record Claim(
    CustomerId customer, RouteName route, String key, String bodyDigest, RequestId request) {
  /**
   * Checks that no component is missing.
   *
   * @throws NullPointerException if a component is null
   */
  public Claim {
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(route, "route");
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(bodyDigest, "bodyDigest");
    Objects.requireNonNull(request, "request");
  }
}
