package io.jacinthquay.decision.slots;

import io.jacinthquay.model.DomainId;
import io.jacinthquay.model.PoolName;
import java.util.Objects;

/**
 * The upstreams that one owner manages: those of one pool in one failure domain.
 *
 * @param pool the pool
 * @param domain the failure domain
 */
public record SlotScope(PoolName pool, DomainId domain) implements Comparable<SlotScope> {
  /**
   * Checks that both components are present.
   *
   * @throws NullPointerException if a component is missing
   */
  public SlotScope {
    Objects.requireNonNull(pool, "pool");
    Objects.requireNonNull(domain, "domain");
  }

  @Override
  public int compareTo(SlotScope other) {
    int byPool = pool.compareTo(other.pool);
    return byPool != 0 ? byPool : domain.compareTo(other.domain);
  }

  @Override
  public String toString() {
    return pool + "@" + domain;
  }
}
