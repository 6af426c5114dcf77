package io.jacinthquay.router.service.forward;

import io.jacinthquay.decision.dispatch.PoolRequest;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.routing.KeyHolder;
import io.jacinthquay.model.routing.RouteRule;
import io.jacinthquay.router.port.RequestHead;
import io.jacinthquay.router.port.RequestMetadata;
import java.util.Optional;

/**
 * An admitted request.
 *
 * @param head the head as the caller sent it
 * @param facts what the protocol reads from the head
 * @param route its route
 * @param holder the holder of its key; absent on open routes
 * @param body the whole body
 * @param arrivedNanos when its head was read, on the monotonic clock
 */
@SuppressWarnings("ArrayRecordComponent")
record ForwardRequest(
    RequestHead head,
    RequestMetadata facts,
    RouteRule route,
    Optional<KeyHolder> holder,
    byte[] body,
    long arrivedNanos) {
  Optional<CustomerId> customer() {
    return holder.map(KeyHolder::customer);
  }

  Tier tier() {
    return holder.flatMap(KeyHolder::tier).orElse(route.tier());
  }

  /** Returns the time limit of the request, in milliseconds from its arrival. */
  long limitMillis() {
    return Math.min(route.timeoutMillis(), facts.waitMillis().orElse(Long.MAX_VALUE));
  }

  /** Returns the deadline of the request, on the monotonic clock. */
  long deadlineNanos() {
    return arrivedNanos + limitMillis() * 1_000_000L;
  }

  PoolRequest work(PoolName pool) {
    return new PoolRequest(
        pool,
        tier(),
        facts.promptTokens(),
        facts.outputTokens(),
        facts.promptParts(),
        route.targetMillis(),
        route.gapTargetMillis(),
        arrivedNanos,
        deadlineNanos());
  }
}
