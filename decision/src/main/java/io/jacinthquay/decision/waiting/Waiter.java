package io.jacinthquay.decision.waiting;

import io.jacinthquay.decision.dispatch.PoolRequest;
import io.jacinthquay.model.CustomerId;
import java.util.Objects;
import java.util.Optional;

/**
 * A request that is about to wait.
 *
 * @param item the request as the caller of the queue knows it
 * @param work its resources and targets
 * @param customer the customer; empty on open routes
 * @param begunNanos when its caller began to wait, as far as is known, on the monotonic clock. A
 *     retry carries a new id, so that it can't be told from a new request with a short time limit;
 *     the part of the route's time limit that is gone when the request arrives counts as waited.
 */
public record Waiter<T>(T item, PoolRequest work, Optional<CustomerId> customer, long begunNanos) {
  /** Checks that all parts are present. */
  public Waiter {
    Objects.requireNonNull(item, "item");
    Objects.requireNonNull(work, "work");
    Objects.requireNonNull(customer, "customer");
  }
}
