package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;

/**
 * What a request asks for that goes on with a stream that broke off.
 *
 * @param stream id of the first attempt at the stream
 * @param afterEvent number of the last event that arrived; 0 to start anew, as none did
 * @param named the attempt that the request names
 */
record TakeUp(RequestId stream, int afterEvent, Named named) {
  /** The attempt that a request names as the one that brought the first event. */
  enum Named {
    /** The attempt that brought it. */
    FIRST_EVENT,
    /** None. */
    NOTHING,
    /** An attempt that never was. */
    UNKNOWN,
    /** An attempt of another customer. */
    OTHER_CUSTOMER
  }

  boolean startsAnew() {
    return afterEvent == 0;
  }
}
