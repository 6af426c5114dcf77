package io.jacinthquay.decision.fairness;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.Tier;
import io.jacinthquay.model.policy.ClassPolicy;
import java.util.Objects;

/**
 * A waiting request with its position in a {@link WaitingQueue}.
 *
 * @param <T> type of the attachment
 */
public final class WaitingRequest<T> {
  private final RequestId request;
  private final ClassPolicy policy;
  private final CustomerId customer;
  private final long deadlineNanos;
  private final long latestStartNanos;
  private final T attachment;
  private boolean guaranteed;

  /** Sequence number of the arrival, which breaks ties between equal deadlines. */
  long arrival;

  /**
   * Creates a waiting request.
   *
   * @param deadlineNanos when its first token is due
   * @param latestStartNanos when it must be dispatched to be on time
   * @param guaranteed whether it must not be shed
   */
  public WaitingRequest(
      RequestId request,
      ClassPolicy policy,
      CustomerId customer,
      long deadlineNanos,
      long latestStartNanos,
      boolean guaranteed,
      T attachment) {
    this.request = Objects.requireNonNull(request, "request");
    this.policy = Objects.requireNonNull(policy, "policy");
    this.customer = Objects.requireNonNull(customer, "customer");
    this.deadlineNanos = deadlineNanos;
    this.latestStartNanos = latestStartNanos;
    this.guaranteed = guaranteed;
    this.attachment = Objects.requireNonNull(attachment, "attachment");
  }

  /** Returns the request id. */
  public RequestId request() {
    return request;
  }

  /** Returns the policy of its class. */
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

  /** Returns the attachment. */
  public T attachment() {
    return attachment;
  }

  /** Returns whether it must not be shed, whatever its class. */
  public boolean guaranteed() {
    return guaranteed;
  }

  /** Returns whether it may be shed. */
  public boolean sheddable() {
    return !guaranteed && !policy.mustFinish();
  }

  /** Returns whether a dispatch now would be on time, or the request is guaranteed. */
  public boolean feasible(long nowNanos) {
    return guaranteed || latestStartNanos >= nowNanos;
  }

  /** Marks the request as guaranteed; called only by the queue. */
  void guarantee() {
    guaranteed = true;
  }
}
