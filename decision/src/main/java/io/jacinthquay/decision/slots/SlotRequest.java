package io.jacinthquay.decision.slots;

import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.UpstreamId;
import java.util.List;
import java.util.Objects;

/**
 * A request as sent to the owner of a scope.
 *
 * <p>Times are relative to the time of sending, because the clocks of routers are not synchronized.
 *
 * @param request the request id
 * @param className its class, which determines tier, floor and whether it must finish
 * @param customer the customer that is charged
 * @param slackNanos time left until the target of the class, negative once it has passed
 * @param firstTokenNanos expected time from dispatch to the first token, 0 or more
 * @param tokens expected cost in input and output tokens, 1 or more
 * @param preemptible whether the work may be cancelled and resumed later
 * @param guaranteed whether it must not be shed, because part of its answer was delivered
 * @param excessTokens last known excess of the customer's counter over its class, in tokens, 0 or
 *     more
 * @param preferred upstreams in order of preference; may be empty
 * @param avoided upstreams that must not serve it
 */
public record SlotRequest(
    RequestId request,
    ClassName className,
    CustomerId customer,
    long slackNanos,
    long firstTokenNanos,
    long tokens,
    boolean preemptible,
    boolean guaranteed,
    double excessTokens,
    List<UpstreamId> preferred,
    List<UpstreamId> avoided) {
  /**
   * Checks the ranges and copies the lists.
   *
   * @throws IllegalArgumentException if a number is out of range
   * @throws NullPointerException if a component is missing
   */
  public SlotRequest {
    Objects.requireNonNull(request, "request");
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
    if (!(excessTokens >= 0)) {
      throw new IllegalArgumentException(
          "excess tokens are " + excessTokens + " and must not be negative");
    }
  }

  /** Returns this request with a new slack and a new excess of the customer's counter. */
  public SlotRequest at(long newSlackNanos, double newExcessTokens) {
    return new SlotRequest(
        request,
        className,
        customer,
        newSlackNanos,
        firstTokenNanos,
        tokens,
        preemptible,
        guaranteed,
        newExcessTokens,
        preferred,
        avoided);
  }

  /** Returns this request as it continues after a preemption, guaranteed not to be shed. */
  public SlotRequest resumed(long remainingTokens) {
    return new SlotRequest(
        request,
        className,
        customer,
        slackNanos,
        firstTokenNanos,
        Math.max(1, remainingTokens),
        preemptible,
        true,
        excessTokens,
        preferred,
        avoided);
  }
}
