package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;

/**
 * What an upstream saw of one request that it ran.
 *
 * @param id the id of the request
 * @param kind the kind of request
 * @param upstream number of the upstream
 * @param port the port from which it was sent to the upstream; -1 if unknown
 * @param beganNanos when the request had been read, on the monotonic clock
 * @param endNanos when the response was written or the connection had ended
 * @param waitMillis the deadline that the router sent; -1 if absent
 * @param unaltered whether the request arrived as the caller sent it, with the caller's customer
 *     and without its key
 * @param truncated whether the upstream itself ended its response early
 */
record Run(
    RequestId id,
    CallKind kind,
    int upstream,
    int port,
    long beganNanos,
    long endNanos,
    long waitMillis,
    boolean unaltered,
    boolean truncated) {
  /** A run for which the connection does not matter. */
  Run(
      RequestId id,
      CallKind kind,
      int upstream,
      long beganNanos,
      long endNanos,
      long waitMillis,
      boolean unaltered,
      boolean truncated) {
    this(id, kind, upstream, -1, beganNanos, endNanos, waitMillis, unaltered, truncated);
  }
}
