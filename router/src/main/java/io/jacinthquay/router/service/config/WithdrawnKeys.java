package io.jacinthquay.router.service.config;

import io.jacinthquay.model.KeyDigest;
import java.util.Collection;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Keys that were withdrawn on this side of a cut and are not yet in the configuration.
 *
 * <p>The set only grows, so that it can be merged in any order.
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

  /** Returns all digests. */
  public Set<KeyDigest> all() {
    return Set.copyOf(digests);
  }
}
