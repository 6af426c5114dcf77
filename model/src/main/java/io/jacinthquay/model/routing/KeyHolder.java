package io.jacinthquay.model.routing;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.Tier;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * A customer and the keys that its callers present.
 *
 * @param customer the customer
 * @param keys digests of its keys
 * @param tier rank of its requests; absent where the route's rank holds
 */
public record KeyHolder(CustomerId customer, Set<KeyDigest> keys, Optional<Tier> tier) {
  /** Copies the set. */
  public KeyHolder {
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(tier, "tier");
    keys = Set.copyOf(keys);
  }
}
