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
 * What the dispatcher needs to know of a request.
 *
 * @param id the request
 * @param pool the pool that serves it
 * @param className its class
 * @param customer who is charged
 * @param model the model; absent for plain routes
 * @param maxOutputTokens most tokens of the answer, 1 or more
 * @param deadlineNanos when the first byte of the answer is due, on the monotonic clock
 * @param endNanos when the whole exchange must have ended, on the monotonic clock
 * @param idempotent whether it may run more than once
 * @param answerStarted whether part of the answer was passed on, so that it is not shed
 * @param placement prompt and exclusions
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
   * Checks that all parts are present.
   *
   * @throws NullPointerException if a part is missing
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
   * Returns the request as it is sent once more.
   *
   * @param failed upstreams that failed it
   * @param answerStarted whether part of the answer was passed on
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
