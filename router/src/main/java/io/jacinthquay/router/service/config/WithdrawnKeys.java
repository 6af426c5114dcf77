package io.jacinthquay.router.service.config;

import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.policy.KeyRecord;
import io.jacinthquay.model.policy.Policy;
import java.util.Collection;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Keys that were withdrawn during a network partition and that the configuration does not yet list
 * as withdrawn.
 *
 * <p>Thread-safe. A withdrawal is final, so sets can be merged in any order. A key is removed once
 * the configuration lists it as withdrawn.
 */
public final class WithdrawnKeys {
  private final Set<KeyDigest> digests = ConcurrentHashMap.newKeySet();

  /**
   * Adds digests.
   *
   * @return whether at least one of them was not yet in the set
   */
  public boolean add(Collection<KeyDigest> withdrawn) {
    return digests.addAll(withdrawn);
  }

  /** Returns whether the set contains a key. */
  public boolean contains(KeyDigest digest) {
    return digests.contains(digest);
  }

  /** Removes the keys that the configuration lists as withdrawn. */
  public void prune(Policy policy) {
    digests.removeIf(digest -> policy.key(digest).map(KeyRecord::withdrawn).orElse(false));
  }

  /** Returns a copy of all digests. */
  public Set<KeyDigest> all() {
    return Set.copyOf(digests);
  }
}
