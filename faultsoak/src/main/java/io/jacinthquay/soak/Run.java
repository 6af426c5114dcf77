package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;

/**
 * What an upstream saw of one request that it ran.
 *
 * @param id names the request
 * @param kind its kind
 * @param upstream number of the upstream
 * @param beganNanos when the request was read, on the monotonic clock
 * @param endNanos when its answer was written, or when its connection had ended
 * @param waitMillis how long the router said that its caller waits; -1 if it didn't
 * @param proper whether the request was as its caller sent it, with the caller's customer and
 *     without its key
 * @param brokeOff whether the upstream ended its answer early of its own accord
 */
record Run(
    RequestId id,
    CallKind kind,
    int upstream,
    long beganNanos,
    long endNanos,
    long waitMillis,
    boolean proper,
    boolean brokeOff) {}
