package io.jacinthquay.router.service.request;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.policy.ClassPolicy;
import io.jacinthquay.router.port.RequestHead;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * The properties of a request that are known once its head was admitted.
 *
 * @param id the id of the request
 * @param head the request head
 * @param customer the customer to bill; {@link #OPEN_CUSTOMER} on open routes
 * @param key the digest of the request's key; absent on open routes
 * @param classPolicy the policy of the request's class
 * @param arrivedNanos when its head arrived, on the monotonic clock
 */
record RequestContext(
    RequestId id,
    RequestHead head,
    CustomerId customer,
    Optional<KeyDigest> key,
    ClassPolicy classPolicy,
    long arrivedNanos) {
  /** The customer of requests on open routes, which need no key. */
  static final CustomerId OPEN_CUSTOMER = new CustomerId("open");

  RequestContext {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(head, "head");
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(classPolicy, "classPolicy");
  }

  /** Returns the monotonic time that is {@code millis} milliseconds after the arrival. */
  long deadlineAfter(long millis) {
    return arrivedNanos + TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
