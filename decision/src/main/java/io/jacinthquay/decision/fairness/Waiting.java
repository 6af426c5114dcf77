package io.jacinthquay.decision.fairness;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.policy.ClassPolicy;
import java.util.Objects;

/**
 * A waiting request and its place in the order.
 *
 * @param <T> what the user of the queue attaches
 */
public final class Waiting<T> {
  private final RequestId request;
  private final ClassPolicy policy;
  private final CustomerId customer;
  private final long deadlineNanos;
  private final long latestStartNanos;
  private final T attachment;
  private boolean firm;
  long arrival;

  /**
   * Describes a request.
   *
   * @param deadlineNanos when its first token is due
   * @param latestStartNanos when it must be dispatched to be on time
   * @param firm whether it may no longer be shed
   */
  public Waiting(
      RequestId request,
      ClassPolicy policy,
      CustomerId customer,
      long deadlineNanos,
      long latestStartNanos,
      boolean firm,
      T attachment) {
    this.request = Objects.requireNonNull(request, "request");
    this.policy = Objects.requireNonNull(policy, "policy");
    this.customer = Objects.requireNonNull(customer, "customer");
    this.deadlineNanos = deadlineNanos;
    this.latestStartNanos = latestStartNanos;
    this.firm = firm;
    this.attachment = Objects.requireNonNull(attachment, "attachment");
  }

  /** Returns the request. */
  public RequestId request() {
    return request;
  }

  /** Returns its class. */
  public ClassPolicy policy() {
    return policy;
  }

  /** Returns its tier. */
  public Tier tier() {
    return policy.tier();
  }

  /** Returns the customer that is charged. */
  public CustomerId customer() {
    return customer;
  }

  /** Returns when its first token is due. */
  public long deadlineNanos() {
    return deadlineNanos;
  }

  /** Returns when it must be dispatched to be on time. */
  public long latestStartNanos() {
    return latestStartNanos;
  }

  /** Returns what the user of the queue attached. */
  public T attachment() {
    return attachment;
  }

  /** Returns whether it may no longer be shed, whatever its class. */
  public boolean firm() {
    return firm;
  }

  /** Returns whether it may be shed. */
  public boolean sheddable() {
    return !firm && !policy.mustFinish();
  }

  /** Returns whether a dispatch now would be on time, or is owed in any case. */
  public boolean feasible(long nowNanos) {
    return firm || latestStartNanos >= nowNanos;
  }

  /** Marks it as firm; only the queue calls this. */
  void makeFirm() {
    firm = true;
  }
}
