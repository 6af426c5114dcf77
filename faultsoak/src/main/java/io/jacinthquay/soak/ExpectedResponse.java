package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;

/** The expected content of responses; it depends only on the id of the first attempt. */
final class ExpectedResponse {
  private static final int PADDING_BOUND_CHARS = 6_000;
  private static final int MIN_EVENTS = 3;
  private static final int EXTRA_EVENTS_BOUND = 20;

  private ExpectedResponse() {}

  /** Returns the body of a response that is not a stream. */
  static String body(RequestId id) {
    return "answer of "
        + id.value()
        + " "
        + "x".repeat(Math.floorMod(hash(id), PADDING_BOUND_CHARS));
  }

  /** Returns the number of events of a stream. */
  static int eventCount(RequestId id) {
    return MIN_EVENTS + Math.floorMod(hash(id), EXTRA_EVENTS_BOUND);
  }

  private static int hash(RequestId id) {
    return id.value().hashCode() * 31 >>> 3;
  }
}
