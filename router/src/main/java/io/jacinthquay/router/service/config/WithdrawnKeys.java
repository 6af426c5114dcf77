package io.jacinthquay.router.service.config;

import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.policy.KeyRecord;
import io.jacinthquay.model.policy.Policy;
import java.util.Collection;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Keys that were withdrawn on this side of a cut and are not yet in the configuration.
 *
 * <p>Withdrawals are final, so that sets can be merged in any order; a key is forgotten here once
 * the configuration says the same.
 */
public final class WithdrawnKeys {
  private final Set<KeyDigest> digests = ConcurrentHashMap.newKeySet();

  /**
   * Adds digests.
   *
   * @return whether any of them was new
   */
  public boolean add(Collection<KeyDigest> withdrawn) {
    return digests.addAll(withdrawn);
  }

  /** Returns whether a key was withdrawn here. */
  public boolean contains(KeyDigest digest) {
    return digests.contains(digest);
  }

  /** Forgets the keys that the configuration knows as withdrawn. */
  public void prune(Policy policy) {
    digests.removeIf(digest -> policy.key(digest).map(KeyRecord::withdrawn).orElse(false));
  }

  /** Returns all digests. */
  public Set<KeyDigest> all() {
    return Set.copyOf(digests);
  }
}
