package io.jacinthquay.router.port;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.RouteName;
import java.util.Objects;

/**
 * One use of an idempotency key.
 *
 * @param customer who presented it
 * @param route where it was presented
 * @param key the text of the header {@code Idempotency-Key}
 * @param bodyDigest SHA-256 of method, target and body, hexadecimal
 * @param request the request that claims it
 */
public record Claim(
    CustomerId customer, RouteName route, String key, String bodyDigest, RequestId request) {
  /**
   * Checks that all parts are present.
   *
   * @throws NullPointerException if a part is missing
   */
  public Claim {
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(route, "route");
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(bodyDigest, "bodyDigest");
    Objects.requireNonNull(request, "request");
  }
}
