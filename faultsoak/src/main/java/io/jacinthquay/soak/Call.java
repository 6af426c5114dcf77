package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;

/**
 * What a caller saw of one request.
 *
 * @param id names the request
 * @param kind its kind
 * @param router number of the router that it was sent to
 * @param port of the caller's connection
 * @param sentNanos when its last byte was written, on the monotonic clock
 * @param endNanos when its answer ended, its connection ended or its caller left
 * @param ending how it ended
 * @param status of the answer; 0 if none came
 * @param body of the answer as far as it came
 * @param waitMillis how long the caller said that it would wait
 */
record Call(
    RequestId id,
    CallKind kind,
    int router,
    int port,
    long sentNanos,
    long endNanos,
    Ending ending,
    int status,
    String body,
    long waitMillis) {
  /** How a request ended for its caller. */
  enum Ending {
    /** The answer was whole. */
    ANSWERED,
    /** The answer or the connection broke off. */
    BROKEN,
    /** The caller left before the end. */
    LEFT
  }

  /** Returns whether the answer promises that the request has not run and never will. */
  boolean isPromise() {
    return ending == Ending.ANSWERED
        && (status == 408 || status == 421 || status == 429 || status == 503);
  }

  boolean isSuccess() {
    return ending == Ending.ANSWERED && status >= 200 && status < 300;
  }
}
