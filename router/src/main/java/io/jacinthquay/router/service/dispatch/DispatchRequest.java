package io.jacinthquay.router.service.dispatch;

import io.jacinthquay.decision.placement.PlacementRequest;
import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.ModelName;
import io.jacinthquay.model.PoolName;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.UpstreamId;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * The properties of a request that the dispatcher needs.
 *
 * @param id the id of the request
 * @param pool the pool that serves the request
 * @param className the class of the request
 * @param customer the customer to bill
 * @param model the model; absent for plain routes
 * @param maxOutputTokens maximum number of output tokens, 1 or more
 * @param deadlineNanos when the first byte of the answer is due, on the monotonic clock
 * @param endNanos when the complete answer is due, on the monotonic clock
 * @param idempotent whether the request may run more than once
 * @param answerStarted whether part of the answer was sent to the caller; such a request is not
 *     shed
 * @param placement the prompt prefix and the excluded upstreams
 */
public record DispatchRequest(
    RequestId id,
    PoolName pool,
    ClassName className,
    CustomerId customer,
    Optional<ModelName> model,
    long maxOutputTokens,
    long deadlineNanos,
    long endNanos,
    boolean idempotent,
    boolean answerStarted,
    PlacementRequest placement) {
  /**
   * Creates a request.
   *
   * @throws NullPointerException if an argument is null
   */
  public DispatchRequest {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(pool, "pool");
    Objects.requireNonNull(className, "className");
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(placement, "placement");
  }

  /**
   * Returns a copy of the request for a retry.
   *
   * @param failed the upstreams on which the request has failed
   * @param answerStarted whether part of the answer was sent to the caller
   */
  public DispatchRequest retry(Set<UpstreamId> failed, boolean answerStarted) {
    return new DispatchRequest(
        id,
        pool,
        className,
        customer,
        model,
        maxOutputTokens,
        deadlineNanos,
        endNanos,
        idempotent,
        answerStarted,
        placement.excluding(failed));
  }
}
