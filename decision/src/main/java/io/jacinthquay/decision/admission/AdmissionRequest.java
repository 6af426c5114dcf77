package io.jacinthquay.decision.admission;

import io.jacinthquay.decision.slots.SlotScope;
import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.UpstreamId;
import java.util.List;
import java.util.Objects;

/**
 * A request for admission.
 *
 * @param request the request id, unique across all routers
 * @param scope the pool and failure domain whose upstreams may serve it
 * @param className its class
 * @param customer the customer that is charged
 * @param deadlineNanos when the first token is due, on this router's monotonic clock
 * @param firstTokenNanos expected time from dispatch to the first token, 0 or more
 * @param tokens expected cost in input and output tokens, 1 or more
 * @param preemptible whether it may be cancelled and resumed later: idempotent model work
 * @param resumed whether part of its answer was delivered, so that it must not be shed
 * @param preferred upstreams in order of preference, as ranked by placement; may be empty
 * @param avoided upstreams that must not serve it, such as one that has just failed it
 */
public record AdmissionRequest(
    RequestId request,
    SlotScope scope,
    ClassName className,
    CustomerId customer,
    long deadlineNanos,
    long firstTokenNanos,
    long tokens,
    boolean preemptible,
    boolean resumed,
    List<UpstreamId> preferred,
    List<UpstreamId> avoided) {
  /**
   * Checks the ranges and copies the lists.
   *
   * @throws IllegalArgumentException if a number is out of range
   * @throws NullPointerException if a component is missing
   */
  public AdmissionRequest {
    Objects.requireNonNull(request, "request");
    Objects.requireNonNull(scope, "scope");
    Objects.requireNonNull(className, "className");
    Objects.requireNonNull(customer, "customer");
    preferred = List.copyOf(preferred);
    avoided = List.copyOf(avoided);
    if (firstTokenNanos < 0) {
      throw new IllegalArgumentException("firstTokenNanos is " + firstTokenNanos);
    }
    if (tokens < 1) {
      throw new IllegalArgumentException("tokens is " + tokens + " and must be at least 1");
    }
  }
}
