package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;

/**
 * What a caller saw of one request.
 *
 * @param id the id of the request
 * @param kind the kind of request
 * @param router number of the router to which it was sent
 * @param port local port of the caller's connection
 * @param sentNanos when the last byte was written, on the monotonic clock
 * @param endNanos when the response ended, the connection ended or the caller disconnected
 * @param ending how the request ended
 * @param status HTTP status of the response; 0 if none arrived
 * @param body the part of the response body that arrived
 * @param waitMillis the deadline that the caller sent
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
    /** The response was complete. */
    ANSWERED,
    /** The response or the connection broke off. */
    BROKEN,
    /** The caller disconnected before the end. */
    LEFT
  }

  /** Returns whether the response guarantees that the request has not run and never will. */
  boolean guaranteesNotRun() {
    return ending == Ending.ANSWERED
        && (status == 408 || status == 421 || status == 429 || status == 503);
  }

  boolean isSuccess() {
    return ending == Ending.ANSWERED && status >= 200 && status < 300;
  }
}
