package io.jacinthquay.router.service.request;

import io.jacinthquay.model.CustomerId;
import io.jacinthquay.model.KeyDigest;
import io.jacinthquay.model.RequestId;
import io.jacinthquay.model.policy.ClassPolicy;
import io.jacinthquay.router.port.CallerHead;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * What is known of a request once its head was admitted.
 *
 * @param id the request
 * @param head the caller's head
 * @param customer who is charged; a fixed name on open routes
 * @param key the digest of the key that it came with; absent on open routes without one
 * @param classPolicy its class
 * @param arrivedNanos when its head arrived, on the monotonic clock
 */
record RequestContext(
    RequestId id,
    CallerHead head,
    CustomerId customer,
    Optional<KeyDigest> key,
    ClassPolicy classPolicy,
    long arrivedNanos) {
  /** Stands for the callers of open routes, who have no key. */
  static final CustomerId OPEN_CUSTOMER = new CustomerId("open");

  RequestContext {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(head, "head");
    Objects.requireNonNull(customer, "customer");
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(classPolicy, "classPolicy");
  }

  /** Returns the time that lies some milliseconds after the arrival. */
  long after(long millis) {
    return arrivedNanos + TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
