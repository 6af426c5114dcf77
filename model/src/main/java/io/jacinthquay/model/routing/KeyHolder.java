package io.jacinthquay.model.routing;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.Tier;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * A customer and its API keys.
 *
 * @param customer the customer
 * @param keys the digests of its keys
 * @param tier the tier of its requests; empty if the tier of the route applies
 */
public record KeyHolder(CustomerId customer, Set<KeyDigest> keys, Optional<Tier> tier) {
  /** Checks that all parts are present and copies the set. */
  public KeyHolder {
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(tier, "tier");
    keys = Set.copyOf(keys);
  }
}
