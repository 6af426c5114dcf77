package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;
import java.util.Optional;

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
 * @param takeUp what it asks for if it is a further attempt at a stream
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
    long waitMillis,
    Optional<TakeUp> takeUp) {
  /** How a request ended for its caller. */
  enum Ending {
    /** The response was complete. */
    ANSWERED,
    /** The response or the connection broke off. */
    BROKEN,
    /** The caller disconnected before the end. */
    LEFT
  }

  /** Creates the first or only attempt at something. */
  Call(
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
    this(
        id,
        kind,
        router,
        port,
        sentNanos,
        endNanos,
        ending,
        status,
        body,
        waitMillis,
        Optional.empty());
  }

  /** Returns the id of the first attempt at the stream, or the only one. */
  RequestId stream() {
    return takeUp.map(TakeUp::stream).orElse(id);
  }

  /** Returns the number of the first event that the answer may bring. */
  int firstEvent() {
    return 1 + takeUp.map(TakeUp::afterEvent).orElse(0);
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
