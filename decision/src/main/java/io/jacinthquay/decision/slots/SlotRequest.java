package io.jacinthquay.decision.slots;

import io.jacinthquay.model.ClassName;
import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.UpstreamId;
import java.util.List;
import java.util.Objects;

/**
 * One request as the owner of a scope sees it.
 *
 * <p>Times are relative to the moment of sending, because routers share no clock.
 *
 * @param request the request
 * @param className its class, which gives tier, floor and whether it must finish
 * @param customer the customer that is charged
 * @param slackNanos time left until the target of the class, negative once it has passed
 * @param firstTokenNanos expected time from dispatch to the first token, 0 or more
 * @param tokens expected cost in input and output tokens, 1 or more
 * @param preemptible whether the work may be cancelled and resumed later
 * @param firm whether it may no longer be shed, because part of its answer was delivered
 * @param lag how far the customer's counter was ahead of its class when last heard, in tokens
 * @param preferred upstreams in order of preference, may be empty
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
    boolean firm,
    double lag,
    List<UpstreamId> preferred,
    List<UpstreamId> avoided) {
  /**
   * Checks the ranges and copies the lists.
   *
   * @throws IllegalArgumentException if a number is out of range
   * @throws NullPointerException if a part is missing
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
    if (!(lag >= 0)) {
      throw new IllegalArgumentException("lag is " + lag + " and must not be negative");
    }
  }

  /** Returns the same request with other values for slack and lag. */
  public SlotRequest at(long newSlackNanos, double newLag) {
    return new SlotRequest(
        request,
        className,
        customer,
        newSlackNanos,
        firstTokenNanos,
        tokens,
        preemptible,
        firm,
        newLag,
        preferred,
        avoided);
  }

  /** Returns the request as it continues after a preemption, with the tokens still expected. */
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
        lag,
        preferred,
        avoided);
  }
}
