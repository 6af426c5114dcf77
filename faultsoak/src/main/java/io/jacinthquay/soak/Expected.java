package io.jacinthquay.soak;

import io.jacinthquay.model.RequestId;

/** What each answer must hold; it follows from the id of the request alone. */
final class Expected {
  private static final int MOST_PADDING = 6_000;
  private static final int LEAST_EVENTS = 3;
  private static final int MORE_EVENTS = 20;

  private Expected() {}

  /** Returns the body of an answer that is no stream. */
  static String body(RequestId id) {
    return "answer of " + id.value() + " " + "x".repeat(Math.floorMod(hash(id), MOST_PADDING));
  }

  /** Returns how many events a stream has. */
  static int events(RequestId id) {
    return LEAST_EVENTS + Math.floorMod(hash(id), MORE_EVENTS);
  }

  /** Returns one event of a stream; numbers begin at 1. */
  static String event(RequestId id, int number) {
    return "id: " + number + "\ndata: " + id.value() + "-" + number + "\n\n";
  }

  /** Returns events of a stream up to a number. */
  static String eventsUpTo(RequestId id, int last) {
    StringBuilder events = new StringBuilder();
    for (int number = 1; number <= last; number++) {
      events.append(event(id, number));
    }
    return events.toString();
  }

  private static int hash(RequestId id) {
    return id.value().hashCode() * 31 >>> 3;
  }
}
