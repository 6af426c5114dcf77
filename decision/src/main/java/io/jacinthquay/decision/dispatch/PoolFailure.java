package io.jacinthquay.decision.dispatch;

import java.util.Collection;
import java.util.function.Predicate;

/**
 * Recognizes a fault of a whole pool.
 *
 * <p>Answers a pool of which part of the requests fail at all upstreams: circuit breakers that trip
 * one after another would overload the upstreams that are left.
 */
final class PoolFailure {
  private PoolFailure() {}

  /** Returns whether failures block more than half of the usable upstreams of a pool. */
  static boolean isFailing(Collection<UpstreamState> pool, Predicate<UpstreamState> usable) {
    int count = 0;
    int failing = 0;
    for (UpstreamState state : pool) {
      if (usable.test(state)) {
        count++;
        failing += state.health().isBlockedByFailures() ? 1 : 0;
      }
    }
    return failing * 2 > count;
  }
}
