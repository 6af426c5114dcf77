package io.jacinthquay.decision.cluster;

import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.Tier;
import java.util.Objects;

/**
 * Requests of one tier that wait at routers for capacity in a pool.
 *
 * @param requests number of requests
 * @param promptTokens sum of their prompt tokens
 */
public record WaitingWork(int requests, long promptTokens) {
  /** No requests. */
  public static final WaitingWork NONE = new WaitingWork(0, 0);

  /** Returns the sum of two. */
  public WaitingWork plus(WaitingWork other) {
    return new WaitingWork(requests + other.requests, promptTokens + other.promptTokens);
  }

  /** Returns this work without other work that it includes. */
  public WaitingWork minus(WaitingWork other) {
    return new WaitingWork(
        Math.max(0, requests - other.requests), Math.max(0, promptTokens - other.promptTokens));
  }

  /**
   * Where work waits.
   *
   * @param pool the pool
   * @param tier priority tier
   */
  public record Key(PoolName pool, Tier tier) {
    /** Checks that both are present. */
    public Key {
      Objects.requireNonNull(pool, "pool");
      Objects.requireNonNull(tier, "tier");
    }
  }
}
