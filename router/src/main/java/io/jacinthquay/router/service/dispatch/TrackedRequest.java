package io.jacinthquay.router.service.dispatch;

/** A waiting or running request and its listener. */
record TrackedRequest(DispatchRequest request, DispatchListener listener) {}
