package io.jacinthquay.keeper.state;

import io.jacinthquay.wire.gen.ClaimRequest;
import java.util.Objects;

/**
 * Identifies an idempotency claim.
 *
 * @param customer the customer
 * @param route the route
 * @param key the client's idempotency key
 */
record ClaimKey(String customer, String route, String key) {
  /** Maximum length of each part, in characters. */
  static final int MAX_LENGTH = 512;

  ClaimKey {
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(route, "route");
    Objects.requireNonNull(key, "key");
    if (customer.length() > MAX_LENGTH
        || route.length() > MAX_LENGTH
        || key.length() > MAX_LENGTH) {
      throw new IllegalArgumentException(
          "a part of the claim key is longer than " + MAX_LENGTH + " characters");
    }
  }

  static ClaimKey of(ClaimRequest request) {
    return new ClaimKey(request.getCustomer(), request.getRoute(), request.getKey());
  }
}
